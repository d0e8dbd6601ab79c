// Decides when a model runner changes between reading prompts and writing
// answers, so that neither stage runs out while the other has room.
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
  /// Load of the busier stage below which nothing changes. Prompts wait for
  /// long well before their runners work all the time.
  double least_decode_overload = 0.8;
  double least_prefill_overload = 0.7;
  /// Load that a stage may have after it gave a runner. Less for prefill, where
  /// the loss of one runner or a burst would make all streams late.
  double most_decode_after = 0.8;
  double most_prefill_after = 0.55;
  /// The busier stage's load must fall at least to this share of itself.
  double benefit = 0.86;
  /// How long the imbalance must last. Shorter for a lack of prefill runners,
  /// which makes every stream late.
  Duration hold = Seconds(4);
  Duration prefill_hold = Seconds(2);
  /// Time constant of the smoothed loads.
  Duration smoothing = Seconds(4);
  /// From one order of a service to the next; longer than a change takes.
  Duration pause = Seconds(9);
  /// From one order of a runner to the next.
  Duration runner_pause = Seconds(30);
  /// Runners of each stage that always remain, where there are that many.
  int least_runners = 2;
  /// Share of a decode runner's memory that placement uses.
  double usable_memory = 0.8;
  /// Prefill runners that can be spared go to decode before there is an
  /// overload, since a change takes longer than a burst. These many always
  /// remain, and this share of all runners, so that the loss of one is borne.
  int safe_prefill_runners = 3;
  double safe_prefill_share = 0.25;
  /// A prefill runner can be spared while the load of those that remain stays
  /// below this.
  double most_spare_load = 0.4;
  /// Decode load from which a spared runner is of use.
  double least_decode_load = 0.35;
  /// Without any load, prefill runners beyond this share of all can be spared:
  /// an answer takes longer to write than its prompt to read.
  double idle_prefill_share = 1.0 / 3;
  /// Load below which a service counts as idle.
  double idle_load = 0.02;
  /// How long a prefill runner must be spare.
  Duration spare_hold = Seconds(2);
};

/// One usable runner and its work in progress.
struct RunnerLoad {
  EndpointId id;
  EndpointRole role = EndpointRole::kDecode;
  int requests = 0;
  Tokens kv_tokens{0};
};

struct StageOrder {
  EndpointId endpoint;
  EndpointRole role = EndpointRole::kDecode;
};

/// For the runners of one service. Not thread safe.
class StageBalancer {
 public:
  explicit StageBalancer(StageBalancerOptions options) : options_(options) {}

  /// Call about each second with all usable runners of the service. Returns an
  /// order to send now; OnOrderSent() must follow if it was sent.
  std::optional<StageOrder> Step(const std::vector<RunnerLoad>& runners,
                                 Tokens kv_capacity, Time now);
  void OnOrderSent(const StageOrder& order, Time now);
  /// The order didn't reach its runner; another one may be asked.
  void OnOrderUndelivered(const StageOrder& order);

 private:
  struct Loads {
    double prefill = 0;
    double decode = 0;
    double busier() const { return prefill > decode ? prefill : decode; }
  };

  struct Counts {
    int prefill = 0;
    int decode = 0;
  };

  struct Work {
    double prompts = 0;
    double kv_tokens = 0;
  };

  void Smooth(const Work& sample, Time now);
  Duration Hold(const Counts& counts, EndpointRole short_role) const;
  /// Whether moving a runner to `to` would ease a lasting overload.
  bool Relieves(const Counts& counts, EndpointRole to) const;
  bool HasSparePrefill(const Counts& counts) const;
  /// Role that should get a runner if that lasts.
  std::optional<EndpointRole> ShortRole(const Counts& counts) const;
  std::optional<StageOrder> Choose(const std::vector<RunnerLoad>& runners,
                                   EndpointRole from, Time now) const;

  StageBalancerOptions options_;
  /// Share of the time that prefill runners work, and share of the decode
  /// runners' memory in use.
  Loads loads_;
  /// Smoothed work of each stage, from which the loads follow as soon as its
  /// runners change.
  Work work_;
  /// Weight of the samples in `work_`; near 1 once they cover the time
  /// constant.
  double weight_ = 0;
  std::optional<Time> sampled_at_;
  /// Role that is short of runners, and since when.
  std::optional<EndpointRole> short_role_;
  Time short_since_{};
  std::optional<Time> ordered_at_;
  std::map<EndpointId, Time> runner_ordered_at_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_STAGE_BALANCER_H_
