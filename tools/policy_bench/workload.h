// Models of deployments and their request streams. The constants are described
// in docs/operators/measures.md.
#ifndef TOOLS_POLICY_BENCH_WORKLOAD_H_
#define TOOLS_POLICY_BENCH_WORKLOAD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"

namespace cassiausher {

/// Capacity and timing of an engine. All deployments use these values, but
/// those with a single pool scale the link rate.
struct EngineModel {
  /// A decode step takes step_base + batch * step_per_request; 34 ms at 20.
  Duration step_base = Milliseconds(18);
  Duration step_per_request = Duration(800);
  /// Most prompt tokens that a decode engine prefills in one step.
  std::int64_t chunk_tokens = 256;
  double prefill_tokens_per_second = 40000;
  Duration prefill_overhead = Milliseconds(5);
  int slots = 20;
  std::int64_t kv_bytes_per_token = 240'000;
  std::int64_t kv_capacity_bytes = 120'000'000'000;
  double link_bytes_per_second = 12.5e9;
  Duration kv_retention = Milliseconds(800);
  /// Size of the prefix cache of an engine, in prompt tokens.
  std::int64_t prefix_cache_tokens = 200'000;

  Duration Step(int batch) const {
    return step_base + batch * step_per_request;
  }
};

/// Log-normal distribution of lengths in tokens, clamped to
/// [minimum, maximum].
struct LengthModel {
  double median = 1;
  double sigma = 0.5;
  std::int64_t minimum = 1;
  std::int64_t maximum = 1;

  std::int64_t Draw(Random& random) const;
  /// Estimated from samples with a fixed seed, since the bounds clamp the
  /// tails.
  double Mean() const;
};

enum class RequestKind { kLong, kShort };

struct ServiceModel {
  std::string name;
  int prefill_runners = 0;
  int decode_runners = 1;
  /// Share of requests of the short class.
  double short_share = 1;
};

struct DeploymentModel {
  std::string name;
  int data_centres = 3;
  std::vector<ServiceModel> services;
  LengthModel long_prompt;
  LengthModel long_output;
  LengthModel short_prompt;
  LengthModel short_output;
  double prefill_thrift = 0.5;
  int accounts = 40;
  EngineModel engine;

  /// Requests per second, over all data centres, at which the decode slots of
  /// the service are exactly full.
  double FullRate(const ServiceModel& service) const;
};

/// Returns false if no deployment has this name.
bool FindDeployment(const std::string& name, DeploymentModel* model);

/// One generated request; the policy does not see `output`.
struct Arrival {
  Time time{};
  int service = 0;
  int data_centre = 0;
  RequestKind kind = RequestKind::kShort;
  int account = 0;
  std::int64_t prompt = 1;
  std::int64_t output = 1;
  std::vector<std::uint64_t> prefix_hashes;
};

/// All arrivals of one service from `start` to `end`: a Poisson process whose
/// rate alternates between bursts of kBurstFactor times the mean and calm
/// phases with a lower rate, so that the mean is kept.
std::vector<Arrival> DrawArrivals(const DeploymentModel& model, int service,
                                  double load, Time start, Time end,
                                  std::uint64_t seed);

}  // namespace cassiausher

#endif  // TOOLS_POLICY_BENCH_WORKLOAD_H_
