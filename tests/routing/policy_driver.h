// Drives a routing policy with random inputs, including out-of-range, stale and
// contradictory ones, and checks its outputs against a simple model.
#ifndef TESTS_ROUTING_POLICY_DRIVER_H_
#define TESTS_ROUTING_POLICY_DRIVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/routing/routing_policy.h"

namespace cassiausher {

/// A registry with all policies.
RoutingPolicyRegistry TestPolicies();
EndpointInfo TestEndpoint(const std::string& name, EndpointRole role,
                          int slots = 4);
RouteRequest TestRequest(const std::string& id, std::int64_t prompt,
                         Time arrived, const std::string& class_id = "long");
RoutingOptions TestOptions();

class PolicyDriver {
 public:
  /// With `enforce_slots`, a grant beyond an engine's slots is a violation.
  PolicyDriver(const std::string& policy, std::uint64_t seed,
               bool enforce_slots);

  /// Stops at the first violation.
  void Run(int steps);
  /// Cancels all requests and checks that the policy holds nothing afterwards.
  void CancelAll();
  std::uint64_t granted() const { return policy_->Counters().granted; }
  /// Violations found so far, each with the time at which it was seen.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  /// The model's state of a request that is queued or running.
  struct ActiveRequest {
    InstanceId entry;
    RequestStage stage = RequestStage::kQueued;
    EndpointId prefill;
    EndpointId decode;
    /// Generations of the endpoints when the request was placed.
    std::uint64_t decode_generation = 0;
    std::uint64_t prefill_generation = 0;
    RouteRequest request;
  };

  void Step();
  void AdmitOne();
  /// Repeats the Admit call of a request, as after a lost grant.
  void RepeatAdmit();
  void AdoptOne();
  void AdvanceRequest(const RequestId& id);
  void LoseEntryInstance();
  void ChangeEndpoint();
  void SendReport();
  /// Takes the policy's outputs and checks each against the model.
  void CheckOutputs();
  void OnGrant(const Grant& grant);
  void AddViolation(const std::string& text);
  RequestId RandomRequest();
  EndpointId RandomEndpoint();

  Random random_;
  bool enforce_slots_;
  std::unique_ptr<RoutingPolicy> policy_;
  Time now_{Seconds(100)};
  std::map<EndpointId, EndpointInfo> endpoints_;
  /// Incremented when an endpoint restarts or dies.
  std::map<EndpointId, std::uint64_t> generations_;
  std::map<EndpointId, Time> quarantined_until_;
  /// Decode slots in use by the model.
  std::map<EndpointId, int> held_;
  std::map<RequestId, ActiveRequest> active_;
  std::set<std::pair<RequestId, EndpointId>> expected_cancels_;
  /// Endpoints removed from the policy.
  std::set<EndpointId> removed_;
  /// The request of a repeated Admit call, whose grant may be sent again.
  RequestId repeated_;
  std::uint64_t next_id_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace cassiausher

#endif  // TESTS_ROUTING_POLICY_DRIVER_H_
