#include "servers/entry/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace cassiausher {
namespace {

// First limit, as a divisor of the endpoint's slots: a server that warms up and
// is several times slower than its peers isn't flooded by it.
constexpr double kFirstLimitDivisor = 8;
// The limit is reviewed after this many responses, or as many as the limit if
// that is more, so that each review covers about one round trip.
constexpr int kRoundAnswers = 4;
// Relative times up to which the limit rises, and above which it falls. Single
// responses vary by a factor of two, their mean over a round by less.
constexpr double kFastTime = 1.5;
constexpr double kSlowTime = 2.5;
constexpr double kRiseFactor = 2;
constexpr double kSlowFactor = 0.7;
constexpr double kFailureFactor = 0.5;
// Failures within this time of a cut belong to the same overload: requests that
// were already on their way when the limit was lowered.
constexpr Duration kCutPeriod = Milliseconds(200);
// An endpoint with as many fast rounds and as long a time without a failure has
// settled. A flapping endpoint fails again within about two seconds.
constexpr int kSettledRounds = 3;
constexpr Duration kSettledTime = Milliseconds(1500);
// Below its full number of slots an endpoint settles only after this time: its
// limit wasn't used, so that the responses say less.
constexpr Duration kUnusedSettledTime = Seconds(4);
// Length of the windows whose mean relative times are compared, and how many
// windows apart. A server that warms up within 60 s from four times the time of
// its peers improves by a tenth over so many.
constexpr Duration kWindow = Seconds(2);
constexpr int kWindowAnswers = 3;
constexpr std::size_t kComparedWindows = 4;
constexpr double kSteadyRatio = 0.9;
// After this time, slow start ends if no settled peer takes work: the endpoints
// started together.
constexpr Duration kTimeWithoutPeers = Seconds(10);
constexpr Duration kTimeLimit = Seconds(60);
// Share of the peers' capacity in use above which a sound endpoint takes more
// than its limit, and the share of its own slots that it takes at most.
constexpr double kHighPeerLoad = 0.75;
constexpr double kRelievingShare = 0.5;
// No relief of peers for this long after a failure.
constexpr Duration kRecentFailure = Seconds(1);
// Half-life of calls of other instances whose end isn't reported: a lost batch
// must not hold the limit for longer than some seconds.
constexpr Duration kOthersHalfLife = Seconds(1);
// Other instances report starts in batches every 25 to 500 ms.
constexpr Duration kOthersLifetime = Seconds(1);
// One instance with an odd view doesn't end slow start everywhere.
constexpr int kSettledElsewhere = 2;
constexpr Duration kMinTimeForOthers = Seconds(1);

double Decay(Duration age, Duration half_life) {
  return std::exp2(-ToSeconds(age) / ToSeconds(half_life));
}

}  // namespace

std::string_view Name(PaceReason reason) {
  switch (reason) {
    case PaceReason::kStarted:
      return "started";
    case PaceReason::kSilence:
      return "heard again";
    case PaceReason::kRecoveries:
      return "recovered";
  }
  return "unknown";
}

std::string_view Name(PaceEnd end) {
  switch (end) {
    case PaceEnd::kSettled:
      return "settled";
    case PaceEnd::kSteadilySlow:
      return "steadily slow";
    case PaceEnd::kEndedElsewhere:
      return "settled elsewhere";
    case PaceEnd::kNoPeers:
      return "no peers";
    case PaceEnd::kTimeLimit:
      return "time limit";
  }
  return "unknown";
}

EndpointPace::EndpointPace(int slots, Time now)
    : slots_(std::max(1, slots)),
      limit_(std::max(1.0, slots_ / kFirstLimitDivisor)),
      began_at_(now),
      fast_since_(now),
      window_began_at_(now) {}

double EndpointPace::LimitAt(double peer_load, Time now) const {
  if (failed_at_.has_value() && now - *failed_at_ < kRecentFailure) {
    return limit_;
  }
  const double excess =
      std::clamp((peer_load - kHighPeerLoad) / (1 - kHighPeerLoad), 0.0, 1.0);
  return std::max(limit_, kRelievingShare * excess * slots_);
}

void EndpointPace::OnOutcomes(const PaceOutcomes& outcomes, double in_progress,
                              Time now) {
  round_peak_ = std::max(round_peak_, in_progress);
  round_answers_ += outcomes.answered;
  window_answers_ += outcomes.answered;
  const double time = static_cast<double>(outcomes.relative_time) / 1000;
  round_time_ += time;
  window_time_ += time;
  if (outcomes.refused + outcomes.failed > 0) {
    failed_at_ = now;
    fast_rounds_ = 0;
    if (!cut_at_.has_value() || now - *cut_at_ >= kCutPeriod) {
      cut_at_ = now;
      limit_ = std::max(1.0, limit_ * kFailureFactor);
    }
    round_answers_ = 0;
    round_time_ = 0;
    round_peak_ = 0;
  }
  if (round_answers_ >= std::max<double>(kRoundAnswers, limit_)) EndRound(now);
  const bool window_ended =
      now - window_began_at_ >= kWindow && window_answers_ >= kWindowAnswers;
  if (window_ended) EndWindow(now);
}

void EndpointPace::EndRound(Time now) {
  const double relative_time = round_time_ / round_answers_ / steady_time_;
  const bool used = round_peak_ >= limit_ / 2;
  round_answers_ = 0;
  round_time_ = 0;
  round_peak_ = 0;
  if (relative_time > kFastTime) {
    fast_rounds_ = 0;
    if (relative_time > kSlowTime) {
      limit_ = std::max(1.0, limit_ * kSlowFactor);
    }
    return;
  }
  if (fast_rounds_ == 0) fast_since_ = now;
  ++fast_rounds_;
  // Responses under a lower load say nothing of a higher limit.
  if (used) limit_ = std::min<double>(slots_, limit_ * kRiseFactor);
}

void EndpointPace::EndWindow(Time now) {
  windows_.push_back(window_time_ / window_answers_);
  window_began_at_ = now;
  window_answers_ = 0;
  window_time_ = 0;
  // Once only, so that a higher load that makes it slower still isn't taken for
  // its speed.
  if (steady_time_ == 1 && IsSteadilySlow(now)) steady_time_ = windows_.back();
}

void EndpointPace::OnOtherInstances(const PaceOutcomes& outcomes, Time now) {
  const double known = OthersInProgress(now).value_or(0);
  others_in_progress_ =
      std::max(0.0, known + outcomes.started - outcomes.ended);
  others_at_ = now;
  // Earlier ones may be about a slow start before this one.
  if (now - began_at_ >= kMinTimeForOthers) {
    settled_elsewhere_ += outcomes.settled;
  }
}

std::optional<double> EndpointPace::OthersInProgress(Time now) const {
  if (!others_at_.has_value() || now - *others_at_ >= kOthersLifetime) {
    return std::nullopt;
  }
  return others_in_progress_ * Decay(now - *others_at_, kOthersHalfLife);
}

bool EndpointPace::IsSteadilySlow(Time now) const {
  if (windows_.size() <= kComparedWindows) return false;
  const bool failed = failed_at_.has_value() &&
                      now - *failed_at_ < kWindow * int{kComparedWindows};
  if (failed) return false;
  const double last = windows_.back();
  const double earlier = windows_[windows_.size() - 1 - kComparedWindows];
  return last > kFastTime && last >= kSteadyRatio * earlier;
}

std::optional<PaceEnd> EndpointPace::End(bool has_peers, Time now) const {
  const bool fast = fast_rounds_ >= kSettledRounds;
  const Duration needed = limit_ >= slots_ ? kSettledTime : kUnusedSettledTime;
  if (fast && now - fast_since_ >= needed) {
    return steady_time_ > 1 ? PaceEnd::kSteadilySlow : PaceEnd::kSettled;
  }
  if (settled_elsewhere_ >= kSettledElsewhere) return PaceEnd::kEndedElsewhere;
  if (!has_peers && now - began_at_ >= kTimeWithoutPeers) {
    return PaceEnd::kNoPeers;
  }
  if (now - began_at_ >= kTimeLimit) return PaceEnd::kTimeLimit;
  return std::nullopt;
}

double AdmissionProbability(double limit, double in_progress, double unseen) {
  const double room = limit - in_progress;
  if (room <= 0) return 0;
  return std::min(1.0, room / std::max(1.0, unseen));
}

}  // namespace cassiausher
