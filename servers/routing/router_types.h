// The values that go into and come out of a routing policy. Times are those of
// the pool owner's clock.
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

/// What is known of an endpoint from its announcements and the configuration.
struct EndpointInfo {
  EndpointId id;
  DataCentreId data_centre;
  ServiceId service;
  EndpointRole role = EndpointRole::kDecode;
  std::string url;
  /// Requests a decode engine runs at once, or calls a plain service takes.
  int slots = 20;
  Bytes kv_capacity{0};
  double prefill_tokens_per_second = 0;
  Bytes kv_bytes_per_token{0};
  bool honours_fencing = true;
  Incarnation incarnation{0};
  /// Takes no new work: the endpoint announced its departure or an operator
  /// drains it.
  bool departing = false;

  bool operator==(const EndpointInfo&) const = default;
};

/// Load as an endpoint reports it, late.
struct LoadReport {
  EndpointId endpoint;
  Incarnation incarnation{0};
  /// Grows with each report; an older number than the last one is ignored.
  std::uint64_t sequence = 0;
  /// Age of the report at its arrival.
  Duration age{0};
  int running = 0;
  int waiting = 0;
  Tokens queued_prompt_tokens{0};
  Bytes kv_bytes{0};
};

enum class CacheEventKind { kStored, kRemoved };

/// A prefix entered or left an engine's cache. Late and with gaps.
struct CacheEvent {
  EndpointId endpoint;
  std::uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint64_t prefix_hash = 0;
};

/// Latency targets and order of one class.
struct ClassTargets {
  ClassId id;
  /// Lower runs first.
  int priority = 1;
  Duration first_token = Milliseconds(860);
  Duration between_tokens = Milliseconds(42);

  bool operator==(const ClassTargets&) const = default;
};

/// A request that asks for a place. `arrived` is when the entry instance
/// received it, on the pool owner's clock.
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
  /// 0 at first; counts the placements that failed before.
  int attempt = 0;
  /// Tokens delivered by earlier attempts; they are read again as prompt.
  Tokens delivered_tokens{0};
  /// Another data centre's pool, with free slots by its last summary, can be
  /// asked if this one refuses. A policy then need not let the request wait.
  bool may_forward = false;
  /// Endpoints that failed this request before.
  std::vector<EndpointId> avoid;
};

/// Where a request runs. The entry instance starts at once.
struct Grant {
  RequestId request;
  InstanceId entry;
  /// Empty: the decode engine prefills the prompt itself.
  EndpointId prefill;
  std::string prefill_url;
  EndpointId decode;
  std::string decode_url;
  /// Engine priority, lower runs first.
  int priority = 1;
  /// Longest time to the end of prefill, and from there to the first token,
  /// before the entry instance treats the endpoint as silent.
  Duration prefill_timeout{0};
  Duration first_token_timeout{0};
  Duration between_tokens_timeout{0};
};

enum class RefusalReason {
  kOverloaded,      ///< The deadline can't be met; come back later.
  kUnknownService,  ///< No such service, or no endpoint of it is known.
  kPromptTooLong,   ///< No endpoint can hold the prompt's KV cache.
  kRetriesSpent,    ///< The retry budget is empty.
  kAccountLimit,    ///< The client account's rate or concurrency is used up.
};

/// The request was not placed. It was not run unless `RouteRequest::attempt`
/// was above 0.
struct RouteRefusal {
  RequestId request;
  InstanceId entry;
  RefusalReason reason = RefusalReason::kOverloaded;
  Duration retry_after{0};
};

/// Orders the pool owner to free what an endpoint holds of a request whose
/// entry instance is gone.
struct CancelOrder {
  RequestId request;
  EndpointId endpoint;
  std::string url;
};

/// The endpoint doesn't obey, or fails too often; it gets no new work until
/// `until`.
struct QuarantineNotice {
  EndpointId endpoint;
  std::string reason;
  Time until{};
};

using RouteOutput =
    std::variant<Grant, RouteRefusal, CancelOrder, QuarantineNotice>;

enum class RequestStage { kQueued, kPrefill, kTransfer, kDecode };

/// A request in progress as the entry instance tells it to a new pool owner.
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
  /// How far past its first-token target; negative while within it.
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
