// Runs one policy in virtual time against simulated pools, entry instances and
// callers.
#ifndef TOOLS_POLICY_BENCH_SIMULATION_H_
#define TOOLS_POLICY_BENCH_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/routing/routing_policy.h"
#include "tools/policy_bench/fake_engine.h"
#include "tools/policy_bench/scheduler.h"
#include "tools/policy_bench/workload.h"

namespace cassiausher {

enum class FaultKind {
  kNone,
  kDecodeDeath,
  kPrefillDeath,
  kLinkStall,
  kCancelStorm,
  kStaleLoad
};

struct BenchOptions {
  DeploymentModel deployment;
  double load = 1;
  std::uint64_t seed = 1;
  int seconds = 60;
  FaultKind fault = FaultKind::kNone;
  std::string policy;
  /// Leaves the requests of the long class out.
  bool only_short = false;
};

/// Results of the requests of one class.
struct ClassResult {
  std::string name;
  std::uint64_t offered = 0;
  /// Answered within the latency targets.
  std::uint64_t good = 0;
  std::vector<double> ttft_ms;
  /// Only requests of services that serve both classes.
  std::vector<double> ttft_shared_ms;
  /// Histogram of gaps between tokens in buckets of 0.1 ms; the last one counts
  /// gaps of 1 s and more.
  std::vector<std::uint64_t> gaps = std::vector<std::uint64_t>(10001);
};

struct BenchResult {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t good = 0;
  std::uint64_t refused_not_run = 0;
  /// Refused or given up after at least one attempt had started.
  std::uint64_t failed = 0;
  /// Requests whose caller cancelled before the first token arrived.
  std::uint64_t abandoned = 0;
  /// Cancelled by the cancel-storm fault; not counted in `offered`.
  std::uint64_t cancelled = 0;
  std::int64_t prefilled_tokens = 0;
  std::int64_t wasted_tokens = 0;
  /// Part of `wasted_tokens`: cancelled by the cancel-storm fault after the
  /// prefill had finished.
  std::int64_t cancelled_after_prefill_tokens = 0;
  std::uint64_t violations = 0;
  PolicyCounters counters;
  std::vector<std::string> violation_names;
  std::vector<ClassResult> classes;
  std::vector<double> decision_us;
};

class Simulation {
 public:
  Simulation(const BenchOptions& options,
             const RoutingPolicyRegistry& registry);
  ~Simulation();

  BenchResult Run();

 private:
  struct Pool;
  struct Runner;
  struct ActiveRequest;
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  void BuildPools(const RoutingPolicyRegistry& registry);
  void AddRunner(Pool& pool, EndpointRole role, int number);
  void ScheduleFaults();

  /// Passes one input to the policy, measures the decision time and handles the
  /// outputs.
  template <typename Call>
  void Decide(Pool& pool, bool admission, Call call);
  void HandleOutput(Pool& pool, const RouteOutput& output);
  void ScheduleTick(Pool& pool);
  /// Calls the policy of the pool's owner after the network delay from the
  /// entry instance of `active`.
  template <typename Call>
  void SendToOwner(const ActiveRequestPtr& active, Call call);

  void OnArrival(const Arrival& arrival);
  void SendAdmit(const ActiveRequestPtr& active);
  /// The unvisited pool of the service with the highest summary; null if there
  /// is none. The current data centre counts as visited.
  Pool* NextPool(const ActiveRequest& active) const;
  void OnGrant(const ActiveRequestPtr& active, const Grant& grant);
  void OnRefusal(const ActiveRequestPtr& active, const RouteRefusal& refusal);
  void OnPrefilled(const ActiveRequestPtr& active, const JobPtr& job);
  void OnToken(const ActiveRequestPtr& active, const JobPtr& job);
  void Fail(const ActiveRequestPtr& active, const JobPtr& job,
            const EndpointId& endpoint);
  void CancelAtEngines(const ActiveRequestPtr& active, const JobPtr& job);
  void CallerCancels(const ActiveRequestPtr& active, bool by_fault);
  void End(const ActiveRequestPtr& active);
  /// One-way delay from the entry instance to the pool's owner.
  Duration HopTo(const ActiveRequest& active) const;

  void Announce(Runner& runner);
  void Kill(Runner& runner);
  void UpdateSummaries();
  void RecordViolation(const std::string& name);
  void CheckAtEnd();
  void RecordResult(const ActiveRequest& active);
  ClassTargets Targets(RequestKind kind) const;

  BenchOptions options_;
  Scheduler scheduler_;
  Random random_;
  std::vector<std::unique_ptr<Pool>> pools_;
  std::vector<std::unique_ptr<FakeLink>> links_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::map<EndpointId, Runner*> by_id_;
  std::map<RequestId, ActiveRequestPtr> active_;
  Time measure_from_{};
  Time arrivals_end_{};
  std::uint64_t next_request_ = 0;
  BenchResult result_;
};

}  // namespace cassiausher

#endif  // TOOLS_POLICY_BENCH_SIMULATION_H_
