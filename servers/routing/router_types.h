// Inputs and outputs of a routing policy. All times are on the pool owner's
// clock.
#ifndef SERVERS_ROUTING_ROUTER_TYPES_H_
#define SERVERS_ROUTING_ROUTER_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/endpoint_role.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// Properties of an endpoint from its announcements and the configuration.
struct EndpointInfo {
  EndpointId id;
  DataCentreId data_centre;
  ServiceId service;
  EndpointRole role = EndpointRole::kDecode;
  std::string url;
  /// Concurrent requests of a decode engine, or calls of a service without a
  /// model engine.
  int slots = 20;
  Bytes kv_capacity{0};
  double prefill_tokens_per_second = 0;
  Bytes kv_bytes_per_token{0};
  bool honours_fencing = true;
  Incarnation incarnation{0};
  /// The endpoint takes no new work because it announced its departure or an
  /// operator is draining it.
  bool departing = false;

  bool operator==(const EndpointInfo&) const = default;
};

/// Load reported by an endpoint. Reports arrive with a delay.
struct LoadReport {
  EndpointId endpoint;
  Incarnation incarnation{0};
  /// Increases with each report. A report whose number is not above the last
  /// one's is ignored.
  std::uint64_t sequence = 0;
  /// Age of the report at its arrival.
  Duration age{0};
  int running = 0;
  int waiting = 0;
  Tokens queued_prompt_tokens{0};
  Bytes kv_bytes{0};
};

enum class CacheEventKind { kStored, kRemoved };

/// A prompt prefix entered or left an engine's cache. Events arrive with a
/// delay and may be lost.
struct CacheEvent {
  EndpointId endpoint;
  std::uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint64_t prefix_hash = 0;
};

/// Latency targets and priority of one request class.
struct ClassTargets {
  ClassId id;
  /// Lower values run first.
  int priority = 1;
  Duration first_token = Milliseconds(860);
  Duration between_tokens = Milliseconds(42);

  bool operator==(const ClassTargets&) const = default;
};

/// A request to be placed. `arrived` is when the entry instance received it, on
/// the pool owner's clock.
struct RouteRequest {
  RequestId id;
  InstanceId entry;
  ServiceId service;
  ClassId class_id;
  AccountId account;
  Time arrived{};
  Tokens prompt_tokens{0};
  Tokens max_output_tokens{0};
  /// Hashes of the prompt's prefixes, shortest first; see
  /// docs/endpoint-protocol.md.
  std::vector<std::uint64_t> prefix_hashes;
  bool idempotent = true;
  /// Number of earlier placements that failed.
  int attempt = 0;
  /// Output tokens delivered by earlier attempts; they are prefilled again as
  /// part of the prompt.
  Tokens delivered_tokens{0};
  /// If this pool refuses, the request can be forwarded to another data
  /// centre's pool, which has free slots by its last summary. A policy may then
  /// refuse instead of queueing.
  bool may_forward = false;
  /// Endpoints that failed this request in earlier attempts.
  std::vector<EndpointId> avoid;
};

/// Placement of a request, which its entry instance starts at once.
struct Grant {
  RequestId request;
  InstanceId entry;
  /// Empty if the decode engine prefills the prompt itself.
  EndpointId prefill;
  std::string prefill_url;
  EndpointId decode;
  std::string decode_url;
  /// Priority on the engine; lower values run first.
  int priority = 1;
  /// Timeouts after which the entry instance treats the endpoint as
  /// unresponsive: until the prefill ends, from there to the first token, and
  /// between tokens.
  Duration prefill_timeout{0};
  Duration first_token_timeout{0};
  Duration between_tokens_timeout{0};
};

enum class RefusalReason {
  kOverloaded,      ///< The deadline can't be met; the caller may retry later.
  kUnknownService,  ///< No such service, or no endpoint of it is known.
  kPromptTooLong,   ///< No endpoint can hold the prompt's KV cache.
  kRetriesSpent,    ///< The retry budget is exhausted.
  kAccountLimit,    ///< The client account's rate or concurrency is used up.
};

/// The request was not placed. No endpoint has run any of it unless
/// `RouteRequest::attempt` was above 0.
struct RouteRefusal {
  RequestId request;
  InstanceId entry;
  RefusalReason reason = RefusalReason::kOverloaded;
  Duration retry_after{0};
};

/// Tells the pool owner to cancel, on one endpoint, a request whose entry
/// instance is dead.
struct CancelOrder {
  RequestId request;
  EndpointId endpoint;
  std::string url;
};

/// The endpoint fails repeatedly or did not confirm a cancel; it gets no new
/// work before `until`.
struct QuarantineNotice {
  EndpointId endpoint;
  std::string reason;
  Time until{};
};

using RouteOutput =
    std::variant<Grant, RouteRefusal, CancelOrder, QuarantineNotice>;

enum class RequestStage { kQueued, kPrefill, kTransfer, kDecode };

/// A request in progress that an entry instance reports to a new pool owner.
struct AdoptedRequest {
  RouteRequest request;
  RequestStage stage = RequestStage::kDecode;
  EndpointId prefill;
  EndpointId decode;
};

/// One line of the state dump and of `show requests`.
struct RequestRow {
  RequestId id;
  InstanceId entry;
  ServiceId service;
  ClassId class_id;
  AccountId account;
  RequestStage stage = RequestStage::kQueued;
  EndpointId prefill;
  EndpointId decode;
  Duration age{0};
  /// Time by which the first token misses its target, or has missed it so far;
  /// negative while within the target.
  Duration late{0};
};

/// One line of the state dump and of `show endpoints`.
struct EndpointRow {
  EndpointInfo info;
  int running = 0;
  int reserved = 0;
  Tokens queued_prompt_tokens{0};
  bool quarantined = false;
  Duration report_age{0};
};

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_ROUTER_TYPES_H_
