// What one entry instance observed of an endpoint's answers: the time that
// calls take, failures, and whether it gets work.
#ifndef SERVERS_ENTRY_ENDPOINT_HEALTH_H_
#define SERVERS_ENTRY_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <optional>

#include "core/endpoint_role.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/routing/circuit_breaker.h"

namespace cassiausher {

/// A sound endpoint may send nothing for almost this long and then go on.
inline constexpr Duration kToleratedSilence = Milliseconds(1600);

enum class WorkOutcome {
  kDone,
  kServerError,  ///< The endpoint responded with a server error.
  kUnreachable,  ///< No connection.
  kBroken,       ///< No response or an incomplete one.
  kSilent,       ///< Given up, since nothing arrived within its time limit.
  kExcessive,    ///< A response that exceeds a limit, as one without end does.
  kMisplaced,    ///< Another endpoint now has the address.
  kRejected,     ///< The endpoint had no free capacity.
  kAbandoned,    ///< Cancelled here, for example as the caller disconnected.
};

/// Calls to an endpoint that have not ended.
struct CallsInFlight {
  int calls = 0;
  /// Prompts to read; 0 for plain services.
  Tokens queued{0};
};

/// Of one incarnation of an endpoint. Not thread safe.
class EndpointHealth {
 public:
  /// `half_life`: of observed costs and failures.
  EndpointHealth(EndpointRole role, Duration half_life, std::uint64_t seed);

  void set_role(EndpointRole role) { role_ = role; }
  void OnStart(Time now);
  /// The endpoint began to respond to a call, which is among `in_flight`.
  void OnResponse(const CallsInFlight& in_flight, Time now);
  /// An event of a stream arrived.
  void OnEvent(Time now) { unanswered_since_ = now; }
  /// A call that began at `began` ended. It is no longer among `in_flight`, but
  /// its prompt still counts in it. Outcomes other than kAbandoned and
  /// kMisplaced.
  void OnOutcome(WorkOutcome outcome, const CallsInFlight& in_flight,
                 Time began, Time now);
  /// Counts the duration of a complete call in the endpoint's cost. `queued`
  /// includes its prompt.
  void OnCost(Tokens queued, Duration took, Time now);
  /// Replaces the expected cost, by what other instances observed or by the
  /// mean of the endpoint's peers.
  void SetCost(Duration unit_cost, Time now);
  /// The caller of a call cancelled it.
  void OnCancelled();

  /// Whether both circuits let a call through.
  bool Admits(Time now) const;
  /// Whether a call would be the trial of a circuit that isn't closed.
  bool IsTrial(Time now) const;
  /// How long the circuits stay open; 0 if none is.
  Duration OpenFor(Time now) const;
  /// Expected microseconds per prompt token, or per request of a plain service.
  double UnitCost(Time now) const;
  /// Moving average of failure weights, between 0 and 1, weighted by its age.
  double FailureShare(Time now) const;

 private:
  /// Weight of what was observed until `aged_at_`; halves with each half-life.
  double Decay(Time now) const;
  /// Applies the decay until `now` to the moving averages.
  void Age(Time now);
  /// Weight of the outcome as a failure, between 0 and 1.
  double FailureWeight(WorkOutcome outcome, Time now) const;
  /// Opens or closes the circuits after a call.
  void ObserveCircuits(WorkOutcome outcome, const CallsInFlight& in_flight,
                       Time now);
  /// Whether a call that began at `began` says nothing of the endpoint's
  /// present state if it fails.
  bool BeganBeforeRecovery(Time began) const {
    return recovered_at_.has_value() && began < *recovered_at_;
  }
  /// A call with `queued` tokens in flight that takes longer than this was held
  /// up.
  Duration SlowTime(Tokens queued, Time now) const;
  /// Whether a call that took `took` until `now` says nothing of the time that
  /// later calls take, since a silence held it up.
  bool WasHeldUp(Duration took, Duration slow, Time now);

  EndpointRole role_;
  Duration half_life_;
  /// Moving average of the unit cost in microseconds; 0 until observed.
  double unit_cost_us_ = 0;
  /// Moving average of failure weights, between 0 and 1.
  double failure_share_ = 0;
  /// The moving averages hold as of this time.
  Time aged_at_{};
  /// Since when calls have been waiting without any response or event; null if
  /// none has been waiting since the last one.
  std::optional<Time> unanswered_since_;
  /// When the endpoint last responded after a time much longer than calls take.
  Time resumed_at_{};
  /// When the last answer arrived that was held up.
  Time held_up_at_{};
  /// Since when all answers have been held up; null if the last one wasn't.
  std::optional<Time> slow_since_;
  /// When the circuit last closed; null before.
  std::optional<Time> recovered_at_;
  /// Opens when the endpoint doesn't respond.
  CircuitBreaker breaker_;
  /// Opens when an answer exceeds a limit.
  CircuitBreaker excess_breaker_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ENDPOINT_HEALTH_H_
