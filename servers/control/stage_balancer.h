// Decides when a model runner switches between prefill (processing prompts) and
// decode (generating output), so that neither stage is overloaded while the
// other has capacity to spare.
#ifndef SERVERS_CONTROL_STAGE_BALANCER_H_
#define SERVERS_CONTROL_STAGE_BALANCER_H_

#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/control/endpoint_record.h"

namespace cassiausher {

struct StageBalancerOptions {
  /// Load from which a stage counts as overloaded. Lower for prefill, since
  /// prompts queue for long well before their runners are fully utilised.
  double decode_overload_threshold = 0.8;
  double prefill_overload_threshold = 0.7;
  /// Load that a stage may have at most after it gives up a runner. Lower for
  /// prefill, where the loss of one runner or a burst would delay all streams.
  double max_decode_load_after = 0.8;
  double max_prefill_load_after = 0.55;
  /// The higher of both loads after the switch, as a share of the overloaded
  /// stage's load before it, must not exceed this.
  double max_load_ratio = 0.86;
  /// How long an overload must last before a runner is switched. Shorter for
  /// prefill, whose overload delays every stream.
  Duration decode_hold = Seconds(4);
  Duration prefill_hold = Seconds(2);
  /// Time constant of the exponential smoothing of the loads.
  Duration smoothing_time = Seconds(4);
  /// Minimum time between two orders of a service; longer than a switch takes.
  Duration service_cooldown = Seconds(9);
  /// Minimum time between two orders to the same runner.
  Duration runner_cooldown = Seconds(30);
  /// Each stage keeps at least this number of runners, if it has them.
  int min_runners_per_stage = 2;
  /// Load that decode may have after it gives up a runner to an overloaded
  /// prefill stage with fewer than that, through which all streams have to go.
  double max_decode_load_for_minimum = 1;
  /// Share of a decode runner's memory that request placement uses.
  double usable_memory_share = 0.8;
  /// Spare prefill runners switch to decode before there is an overload, since
  /// a switch takes longer than a burst. At least this number and this share of
  /// all runners stay in prefill, so that the stage survives the loss of one.
  int min_prefill_runners = 3;
  double min_prefill_share = 0.25;
  /// A prefill runner is spare if the load of the remaining ones would not
  /// exceed this.
  double max_prefill_load_without_spare = 0.4;
  /// Decode load from which another decode runner is useful.
  double min_decode_load_for_spare = 0.35;
  /// In an idle service, prefill runners beyond this share of all are spare,
  /// since generating a response takes longer than processing its prompt.
  double idle_prefill_share = 1.0 / 3;
  /// A service is idle while the loads of both stages are below this.
  double idle_load = 0.02;
  /// How long a prefill runner must be spare before it is switched.
  Duration spare_hold = Seconds(2);
};

/// One usable runner and its work in progress.
struct RunnerLoad {
  EndpointId id;
  EndpointRole role = EndpointRole::kDecode;
  int requests = 0;
  /// Peak of the KV cache use that is forecast for its requests.
  Tokens kv_tokens{0};
};

/// Tells a runner to switch to a role.
struct StageOrder {
  EndpointId endpoint;
  EndpointRole role = EndpointRole::kDecode;
};

/// Balances the runners of one service. Not thread safe.
class StageBalancer {
 public:
  explicit StageBalancer(StageBalancerOptions options) : options_(options) {}

  /// Call about once a second with all usable runners of the service. Returns
  /// an order to send now, if any. The caller must report a sent order to
  /// OnOrderSent().
  std::optional<StageOrder> Step(const std::vector<RunnerLoad>& runners,
                                 Tokens kv_capacity, Time now);
  void OnOrderSent(const StageOrder& order, Time now);
  /// The order didn't reach its runner. Another runner of the service may be
  /// ordered without waiting for `service_cooldown`.
  void OnOrderUndelivered(const StageOrder& order);

 private:
  struct Loads {
    double prefill = 0;
    double decode = 0;
    double highest() const { return prefill > decode ? prefill : decode; }
  };

  struct Counts {
    int prefill = 0;
    int decode = 0;
  };

  /// Requests on prefill runners; requests of decode runners, including those
  /// whose prompt is still in prefill, and their KV cache use.
  struct Work {
    double prompts = 0;
    double streams = 0;
    double kv_tokens = 0;
  };

  /// Adds a sample to the exponentially smoothed work.
  void Smooth(const Work& sample, Time now);
  /// How long the need must last before a runner is switched.
  Duration Hold(const Counts& counts, EndpointRole needed_role) const;
  /// Whether stage `to` is overloaded and one more runner would relieve it
  /// without overloading the other stage.
  bool RelievesOverload(const Counts& counts, EndpointRole to) const;
  /// KV cache use of the decode runners once prefill has this utilisation:
  /// streams reserve their memory before their prompts wait for prefill.
  double KvTokensAt(double prefill_load, int prefill_runners) const;
  /// Whether a prefill runner can switch to decode ahead of an overload.
  bool HasSparePrefillRunner(const Counts& counts) const;
  /// Role that should get a runner once the need has lasted for Hold().
  std::optional<EndpointRole> NeededRole(const Counts& counts) const;
  /// Returns an order for the runner of role `from` with the least forecast KV
  /// cache use that isn't in cooldown, or null.
  std::optional<StageOrder> ChooseRunner(const std::vector<RunnerLoad>& runners,
                                         EndpointRole from, Time now) const;

  StageBalancerOptions options_;
  /// Share of the time that prefill runners are busy, and share of the decode
  /// runners' usable memory that is in use.
  Loads loads_;
  /// Usable memory of one decode runner, in tokens.
  double usable_tokens_ = 0;
  /// Smoothed work of each stage. The loads are derived from it, so that they
  /// reflect a changed number of runners at once.
  Work work_;
  /// Sum of the weights of the samples in `work_`. Approaches 1 as they come to
  /// cover several time constants.
  double total_weight_ = 0;
  std::optional<Time> sampled_at_;
  /// Role that needs a runner, and since when.
  std::optional<EndpointRole> needed_role_;
  Time needed_since_{};
  std::optional<Time> ordered_at_;
  std::map<EndpointId, Time> runner_ordered_at_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_STAGE_BALANCER_H_
