// Interface of plug-ins that implement an endpoint protocol. A driver only
// translates messages and has no sockets or state, so that supporting another
// protocol takes only another plug-in.
#ifndef SERVERS_SERVING_ENDPOINT_DRIVER_H_
#define SERVERS_SERVING_ENDPOINT_DRIVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/registry.h"
#include "core/units.h"

namespace cassiausher {

/// A caller's request after validation, with the fields that routing needs.
struct CallerRequest {
  RequestId id;
  IdempotencyKey key;
  ServiceId service;
  ClassId class_id;
  AccountId account;
  bool idempotent = true;
  bool stream = false;
  /// Chat completion, or else text completion.
  bool chat = false;
  /// Path, content type and body as the caller sent them.
  std::string method = "POST";
  std::string path;
  std::string content_type = "application/json";
  std::string body;
  Tokens prompt_tokens{0};
  Tokens max_output_tokens{0};
  std::vector<std::uint64_t> prefix_hashes;
  /// Last-Event-ID: chunks that the caller received over an earlier connection.
  std::uint64_t received_chunks = 0;
};

/// One HTTP call to an endpoint.
struct EndpointCall {
  std::string method = "POST";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string content_type = "application/json";
  std::string body;
};

/// Routing data sent with every call of a request.
struct CallContext {
  std::string pool;  ///< "data centre/service".
  Epoch epoch{0};
  int priority = 1;
};

struct PrefillResult {
  /// Opaque to all but the driver; passed to BuildDecode().
  std::string transfer_parameters;
  Tokens cached_tokens{0};
};

/// One chunk of a streamed answer. `sequence` starts at 1 for each answer.
struct StreamChunk {
  std::uint64_t sequence = 0;
  std::string text;
  /// Empty until the last chunk; then "stop" or "length".
  std::string finish_reason;
};

/// Splits a streamed answer into chunks; used for one call.
class ChunkParser {
 public:
  virtual ~ChunkParser() = default;
  /// Appends the chunks that `bytes` completes. Returns false if the stream is
  /// malformed.
  virtual bool Feed(std::string_view bytes,
                    std::vector<StreamChunk>* chunks) = 0;
};

class EndpointDriver {
 public:
  virtual ~EndpointDriver() = default;

  /// Fills `prompt_tokens`, `max_output_tokens`, `prefix_hashes`, `stream` and
  /// `service` from `body`. Findings locate errors by JSON pointer.
  virtual void ParseRequest(CallerRequest* request,
                            Findings* findings) const = 0;

  virtual EndpointCall BuildPrefill(const CallerRequest& request,
                                    const CallContext& context,
                                    const std::string& endpoint_url) const = 0;
  /// Returns false if the response is malformed.
  virtual bool ParsePrefill(std::string_view body,
                            PrefillResult* result) const = 0;

  /// `transfer_parameters` is empty if the engine prefills the prompt itself.
  /// `delivered` is the text that the caller has received, and
  /// `delivered_chunks` its number of chunks.
  virtual EndpointCall BuildDecode(const CallerRequest& request,
                                   const CallContext& context,
                                   const std::string& endpoint_url,
                                   const std::string& transfer_parameters,
                                   const std::string& delivered,
                                   std::uint64_t delivered_chunks) const = 0;
  /// Resumes a stream that the engine still holds, after `delivered_chunks`.
  virtual EndpointCall BuildResume(const CallerRequest& request,
                                   const CallContext& context,
                                   const std::string& endpoint_url,
                                   std::uint64_t delivered_chunks) const = 0;
  virtual std::unique_ptr<ChunkParser> NewChunkParser(bool chat) const = 0;

  virtual EndpointCall BuildCancel(const RequestId& request,
                                   const std::string& endpoint_url) const = 0;

  /// Lists the requests for which the endpoint holds memory.
  virtual EndpointCall BuildSessions(const std::string& endpoint_url) const = 0;
  /// Returns false if the response is malformed.
  virtual bool ParseSessions(std::string_view body,
                             std::vector<RequestId>* requests) const = 0;

  /// Formats one event of the stream to the caller.
  virtual std::string FormatChunk(const CallerRequest& request,
                                  const StreamChunk& chunk) const = 0;
  virtual std::string FormatStreamEnd() const = 0;
  /// Formats the complete answer to a caller that didn't request a stream.
  virtual std::string FormatAnswer(const CallerRequest& request,
                                   const std::string& text,
                                   const std::string& finish_reason,
                                   std::uint64_t output_tokens) const = 0;
  /// Parses the output of FormatAnswer() into one chunk. Returns false if
  /// `answer` is not in that format.
  virtual bool ReadAnswer(bool chat, const std::string& answer,
                          StreamChunk* chunk) const = 0;
};

using EndpointDriverRegistry = Registry<EndpointDriver>;

}  // namespace cassiausher

#endif  // SERVERS_SERVING_ENDPOINT_DRIVER_H_
