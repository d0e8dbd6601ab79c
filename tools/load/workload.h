// The requests of a load run and their targets.
#ifndef TOOLS_LOAD_WORKLOAD_H_
#define TOOLS_LOAD_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/random.h"

namespace cassiausher {

/// A process with an HTTP address: an instance or an endpoint.
struct Target {
  std::string name;
  std::string url;
};

/// DIR/addresses.json of a deployment.
struct Addresses {
  struct Service {
    std::string name;
    bool plain = false;
  };
  std::vector<Target> instances;
  std::vector<Target> endpoints;
  std::vector<Service> services;
};

Addresses ReadAddresses(const std::string& path, Findings* findings);

/// One service's share of the load, its prompt lengths and latency targets.
struct ServiceLoad {
  std::string name;
  bool plain = false;
  double share = 1;
  /// Log-normal prompt length in tokens.
  double prompt_median = 200;
  double prompt_sigma = 0.5;
  /// 0 means no target.
  double first_token_ms = 0;
  double between_tokens_ms = 0;
};

struct Workload {
  std::vector<ServiceLoad> services;
  std::int64_t max_tokens = 200;
  double cancel_share = 0;
  double retry_share = 0;
  double non_idempotent_share = 0;
  double stream_share = 1;
  std::uint64_t seed = 1;
};

/// Parses `SERVICE=SHARE,…` into `workload`; empty means equal shares for all
/// services.
void ParseMix(const std::string& text, const Addresses& addresses,
              Workload* workload, Findings* findings);

/// Parses `A,B` for all services, or `SERVICE=A:B,…`, and calls `set` with each
/// service and its pair.
void ParsePairs(const std::string& option, const std::string& text,
                void (*set)(ServiceLoad& service, double first, double second),
                Workload* workload, Findings* findings);

/// One generated request and the caller's behaviour.
struct PlannedRequest {
  std::string id;
  std::string key;
  const ServiceLoad* service = nullptr;
  /// JSON body, and the hash that the answer must contain.
  std::string body;
  std::uint32_t text_hash = 0;
  bool stream = false;
  bool idempotent = true;
  bool retries = false;
  /// The caller disconnects after this time; -1 means never.
  std::int64_t cancel_after_us = -1;
  /// The caller disconnects after this many tokens; 0 means never.
  std::int64_t cancel_after_tokens = 0;
};

/// Generates the request number `number` of a run. Ids are unique in the run,
/// and between runs with different `run` names.
PlannedRequest PlanRequest(const Workload& workload, const std::string& run,
                           std::int64_t number, Random& random);

}  // namespace cassiausher

#endif  // TOOLS_LOAD_WORKLOAD_H_
