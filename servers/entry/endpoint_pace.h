// Slow start of an endpoint that has just started or recovered: how many
// requests all entry instances together may have in progress there, derived
// from how it responds.
#ifndef SERVERS_ENTRY_ENDPOINT_PACE_H_
#define SERVERS_ENTRY_ENDPOINT_PACE_H_

#include <optional>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "servers/loads/pace_outcomes.h"

namespace cassiausher {

/// Why slow start begins.
enum class PaceReason {
  kStarted,     ///< A new endpoint, or a new incarnation of a known one.
  kSilence,     ///< Control instances hear it again.
  kRecoveries,  ///< Several instances saw its circuit close again, or were
                ///< told to come back later.
};

/// Why slow start ends.
enum class PaceEnd {
  kSettled,         ///< It responds as fast as its peers.
  kSteadilySlow,    ///< It is slower than its peers and gets no faster.
  kEndedElsewhere,  ///< It ended at other instances.
  kNoPeers,         ///< All endpoints of its kind are in slow start.
  kTimeLimit,       ///< Too few responses to tell.
};

std::string_view Name(PaceReason reason);
std::string_view Name(PaceEnd end);

/// The slow start of one endpoint. Not thread safe. Instances that are fed the
/// same outcomes arrive at similar limits.
class EndpointPace {
 public:
  EndpointPace(int slots, Time now);

  /// Requests that all instances together may have in progress.
  double limit() const { return limit_; }
  /// Limit while the endpoint's peers have `peer_load` of their capacity in
  /// use. Higher than limit() if they are nearly full and the endpoint hasn't
  /// failed lately: what it doesn't take would overload them.
  double LimitAt(double peer_load, Time now) const;

  /// Outcomes of this instance or of others. `in_progress`: of all instances.
  void OnOutcomes(const PaceOutcomes& outcomes, double in_progress, Time now);
  /// Counts calls that other instances started and ended, and instances at
  /// which slow start has ended. Pass the same outcomes to OnOutcomes() too.
  void OnOtherInstances(const PaceOutcomes& outcomes, Time now);
  /// Requests of other instances in progress, by the calls that they started
  /// and ended. Null if they have reported none lately.
  std::optional<double> OthersInProgress(Time now) const;

  /// Relative time of an endpoint that is slow at any load; else 1. The mean of
  /// the last responses would vary, and all instances would choose the endpoint
  /// whose last ones were the fastest.
  double steady_time() const { return steady_time_; }

  /// Why slow start has ended; null if it hasn't. `has_peers`: an endpoint of
  /// the same service and role that isn't in slow start takes work.
  std::optional<PaceEnd> End(bool has_peers, Time now) const;

 private:
  void EndRound(Time now);
  /// Ends a window of responses. If the endpoint gets no faster, its responses
  /// are compared with its own earlier ones from now on.
  void EndWindow(Time now);
  bool IsSteadilySlow(Time now) const;

  int slots_;
  double limit_;
  Time began_at_;
  /// When the endpoint last refused a request or failed.
  std::optional<Time> failed_at_;
  /// When the limit was last lowered for a refusal or failure.
  std::optional<Time> cut_at_;
  /// Responses since the limit was last reviewed.
  int round_answers_ = 0;
  double round_time_ = 0;
  double round_peak_ = 0;
  /// Consecutive rounds that were as fast as peers.
  int fast_rounds_ = 0;
  Time fast_since_;
  /// Responses of the current window, and mean relative times of earlier ones.
  Time window_began_at_;
  int window_answers_ = 0;
  double window_time_ = 0;
  std::vector<double> windows_;
  double steady_time_ = 1;
  /// Of other instances, as of `others_at_`.
  double others_in_progress_ = 0;
  std::optional<Time> others_at_;
  int settled_elsewhere_ = 0;
};

/// Probability that an instance may send a request to an endpoint with this
/// limit, if `in_progress` requests are known and `unseen` more are expected to
/// choose the endpoint before this instance knows of them.
double AdmissionProbability(double limit, double in_progress, double unseen);

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ENDPOINT_PACE_H_
