// Driver for engines with the OpenAI-style HTTP API and the published
// remote-prefill and remote-decode transfer parameters; see
// docs/endpoint-protocol.md.
#ifndef MODULES_OPENAI_ENDPOINT_OPENAI_DRIVER_H_
#define MODULES_OPENAI_ENDPOINT_OPENAI_DRIVER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

class OpenAiDriver : public EndpointDriver {
 public:
  /// Also removes the fields from `body` that the router sets in its calls to
  /// engines, so that each call can append them without parsing the body again.
  void ParseRequest(CallerRequest* request, Findings* findings) const override;

  EndpointCall BuildPrefill(const CallerRequest& request,
                            const CallContext& context,
                            const std::string& endpoint_url) const override;
  bool ParsePrefill(std::string_view body,
                    PrefillResult* result) const override;
  EndpointCall BuildDecode(const CallerRequest& request,
                           const CallContext& context,
                           const std::string& endpoint_url,
                           const std::string& transfer_parameters,
                           const std::string& delivered,
                           std::uint64_t delivered_chunks) const override;
  EndpointCall BuildResume(const CallerRequest& request,
                           const CallContext& context,
                           const std::string& endpoint_url,
                           std::uint64_t delivered_chunks) const override;
  std::unique_ptr<ChunkParser> NewChunkParser(bool chat) const override;
  EndpointCall BuildCancel(const RequestId& request,
                           const std::string& endpoint_url) const override;
  EndpointCall BuildSessions(const std::string& endpoint_url) const override;
  bool ParseSessions(std::string_view body,
                     std::vector<RequestId>* requests) const override;

  std::string FormatChunk(const CallerRequest& request,
                          const StreamChunk& chunk) const override;
  std::string FormatStreamEnd() const override;
  std::string FormatAnswer(const CallerRequest& request,
                           const std::string& text,
                           const std::string& finish_reason,
                           std::uint64_t output_tokens) const override;
  bool ReadAnswer(bool chat, const std::string& answer,
                  StreamChunk* chunk) const override;
};

}  // namespace cassiausher

#endif  // MODULES_OPENAI_ENDPOINT_OPENAI_DRIVER_H_
