// State tracking shared by all routing policies: endpoints, requests in
// progress, quarantine, adoption of running requests, cancel orders and status
// rows. A derived class decides where requests are placed.
#ifndef SERVERS_ROUTING_POLICY_BASE_H_
#define SERVERS_ROUTING_POLICY_BASE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "servers/routing/pool_endpoint.h"
#include "servers/routing/routing_policy.h"

namespace cassiausher {

class PolicyBase : public RoutingPolicy {
 public:
  explicit PolicyBase(RoutingOptions options);

  void Reconfigure(const RoutingOptions& options, Time now) override;
  void UpsertEndpoint(const EndpointInfo& endpoint, Time now) override;
  void RemoveEndpoint(const EndpointId& endpoint, Time now) override;
  void Report(const LoadReport& report, Time now) override;
  void OnCacheEvent(const CacheEvent& event, Time now) override;

  void Admit(const RouteRequest& request, Time now) override;
  void OnPrefillFinished(const RequestId& request, Time now) override;
  void OnFirstToken(const RequestId& request, Time now) override;
  void OnFinished(const RequestId& request, Tokens output_tokens,
                  Time now) override;
  void OnFailed(const RequestId& request, const EndpointId& endpoint,
                Time now) override;
  void OnCancelled(const RequestId& request, Time now) override;
  void OnEntryLost(const InstanceId& entry, Time now) override;
  void Adopt(const AdoptedRequest& adopted, Time now) override;
  void OnCancelUnconfirmed(const EndpointId& endpoint, Time now) override;

  void Tick(Time now) override;
  Time NextWakeup() const override;
  std::vector<RouteOutput> TakeOutputs() override;
  std::vector<RequestRow> Requests(Time now) const override;
  std::vector<EndpointRow> Endpoints(Time now) const override;
  PolicyCounters Counters() const override { return counters_; }

 protected:
  /// A queued or running request. Freed when it is refused, finishes, fails or
  /// is cancelled.
  struct Request {
    RouteRequest request;
    RequestStage stage = RequestStage::kQueued;
    ClassTargets targets;
    Time granted{};
    Time first_token_at{};
    /// Null if the decode engine prefills the prompt, or if the endpoint of an
    /// adopted request is not known yet.
    std::shared_ptr<PoolEndpoint> prefill;
    std::shared_ptr<PoolEndpoint> decode;
    /// This request's share of `prefill->queued_prompt_tokens`. While it is
    /// queued, a policy may keep its own count here.
    Tokens queued_tokens{0};
    /// Endpoints of an adopted request that have not announced themselves yet.
    EndpointId pending_prefill;
    EndpointId pending_decode;
    /// When the first token is due, for policies that queue by deadline. Unlike
    /// deadline(), the policy may extend it beyond the class's target.
    Time effective_deadline{};
    /// Latest time of a grant that can meet `effective_deadline`.
    Time grant_by{};

    Time deadline() const { return request.arrived + targets.first_token; }
    /// Tokens to prefill, including the output tokens that earlier attempts
    /// delivered.
    Tokens prompt() const {
      return request.prompt_tokens + request.delivered_tokens;
    }
  };

  /// Endpoints of one role as (score, ordinal), in order of preference.
  using EndpointIndex = std::set<std::pair<std::int64_t, std::uint64_t>>;

  /// Calls Start or Refuse for the request, or queues it.
  virtual void Place(Request& request, Time now) = 0;
  /// Called when slots or prefill capacity may have been freed or an endpoint
  /// may have become available.
  virtual void OnCapacity(Time /*now*/) {}
  /// Called before a queued request is granted or freed.
  virtual void OnDequeue(const Request& /*request*/, Time /*now*/) {}
  /// Called when a request has been granted or adopted; it counts as holding a
  /// slot until OnEnd.
  virtual void OnBegin(Request& /*request*/, Time /*now*/) {}
  /// Called before a request that was granted or adopted is freed.
  virtual void OnEnd(const Request& /*request*/, Time /*now*/) {}
  /// Called when a prefill engine has finished the prompt and its load was
  /// released.
  virtual void OnPrefillDone(Request& /*request*/, Time /*now*/) {}
  /// Called when the request's first output token was reported.
  virtual void OnFirstOutput(const Request& /*request*/, Time /*now*/) {}
  /// Called before a request that finished is freed, with its total output. Not
  /// called if it failed or was cancelled.
  virtual void OnOutputComplete(const Request& /*request*/, Tokens /*output*/,
                                Time /*now*/) {}
  /// Called for events with a new sequence number, also after a gap.
  virtual void ApplyCacheEvent(const PoolEndpoint& /*endpoint*/,
                               const CacheEvent& /*event*/, Time /*now*/) {}
  /// Sort key among the endpoints of one role; the lowest is preferred.
  virtual std::int64_t DecodeScore(const PoolEndpoint& endpoint) const;
  virtual std::int64_t PrefillScore(const PoolEndpoint& endpoint) const;

  /// Returns whether the prompt must be prefilled by a prefill engine.
  bool NeedsPrefillEngine(const Request& request) const;
  /// Grants the request. `prefill` may be null.
  void Start(Request& request, std::shared_ptr<PoolEndpoint> prefill,
             std::shared_ptr<PoolEndpoint> decode, Tokens prefill_tokens,
             Time now);
  /// Refuses and frees the request.
  void Refuse(const Request& request, RefusalReason reason,
              Duration retry_after, Time now);
  /// Updates the endpoint's index entry after a change of its state.
  void Reindex(PoolEndpoint& endpoint, Time now);
  /// Counts a violation if `holds` is false. `name` must be a string literal.
  void CheckInvariant(bool holds, std::string_view name);

  std::shared_ptr<PoolEndpoint> Find(const EndpointId& id) const;
  std::shared_ptr<PoolEndpoint> ByOrdinal(std::uint64_t ordinal) const;
  Request* FindRequest(const RequestId& id);
  const Request* FindRequest(const RequestId& id) const;
  /// The first available endpoint of the index, or null. Endpoints in the
  /// request's `avoid` list are used only if there is no other.
  std::shared_ptr<PoolEndpoint> FirstAvailable(const EndpointIndex& index,
                                               const Request& request,
                                               Time now) const;
  bool Avoids(const Request& request, const PoolEndpoint& endpoint) const;

  const RoutingOptions& options() const { return options_; }
  const EndpointIndex& decodes() const { return decodes_; }
  const EndpointIndex& prefills() const { return prefills_; }
  std::size_t request_count() const { return requests_.size(); }
  /// Total slots of the decode engines that accept new work.
  int available_slots() const { return available_slots_; }
  /// Free slots among available_slots().
  int available_free_slots() const { return available_free_slots_; }
  PolicyCounters& counters() { return counters_; }
  bool has_prefill_engines() const { return has_prefill_engines_; }

 private:
  /// What an endpoint currently contributes to its index and to the slot
  /// totals.
  struct IndexKey {
    std::int64_t score = 0;
    bool present = false;
    int slots = 0;
    int free_slots = 0;
  };

  ClassTargets TargetsOf(const ClassId& id) const;
  Grant MakeGrant(const Request& request) const;
  /// Places an adopted request on `endpoint` if it was waiting for it.
  void ResolvePlacement(Request& request,
                        const std::shared_ptr<PoolEndpoint>& endpoint,
                        Time now);
  void HoldDecodeSlot(Request& request, Time now);
  void ReleasePrefill(Request& request, Time now);
  /// Frees the request and everything reserved for it.
  void Release(const RequestId& id, Time now);
  void OrderCancel(const Request& request, const PoolEndpoint& endpoint);
  /// Outputs the notice and schedules the end of the quarantine.
  void EmitQuarantineNotice(PoolEndpoint& endpoint, std::string reason,
                            Time now);
  void UpdateMaxPrompt();
  void EraseEndpoint(const std::shared_ptr<PoolEndpoint>& endpoint, Time now);

  RoutingOptions options_;
  ServiceId service_;
  /// True while the pool has a prefill engine and for kPrefillAbsenceTimeout
  /// after it lost the last one. After that it stays true until the next
  /// UpsertEndpoint(). An upsert into an empty pool clears it at once.
  bool has_prefill_engines_ = false;
  int prefill_count_ = 0;
  /// When a prefill engine was last removed.
  Time last_prefill_removed_at_{};
  /// Longest prompt whose KV cache fits on at least one decode engine.
  Tokens max_prompt_{0};
  std::uint64_t next_ordinal_ = 0;
  std::map<EndpointId, std::shared_ptr<PoolEndpoint>> endpoints_;
  std::unordered_map<std::uint64_t, std::shared_ptr<PoolEndpoint>> by_ordinal_;
  std::unordered_map<std::uint64_t, IndexKey> index_keys_;
  EndpointIndex decodes_;
  EndpointIndex prefills_;
  int available_slots_ = 0;
  int available_free_slots_ = 0;
  /// Endpoint ordinals by the end of their quarantine.
  std::set<std::pair<Time, std::uint64_t>> quarantines_;
  std::unordered_map<RequestId, Request> requests_;
  std::vector<RouteOutput> outputs_;
  PolicyCounters counters_;
  /// Admit calls minus grants, refusals and requests freed while queued.
  std::int64_t pending_admissions_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_POLICY_BASE_H_
