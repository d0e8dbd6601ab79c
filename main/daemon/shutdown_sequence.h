// Decides when each step of a shutdown is due. Has no thread and no clock: the
// present time and what the tasks report are arguments.
#ifndef MAIN_DAEMON_SHUTDOWN_SEQUENCE_H_
#define MAIN_DAEMON_SHUTDOWN_SEQUENCE_H_

#include "core/time.h"

namespace cassiausher {

/// Steps of a shutdown, in order.
enum class ShutdownPhase {
  kNone,
  /// Requests in progress end; new ones are refused.
  kRequests,
  /// The admin listener is closed; its callers get their last answers.
  kAdmin,
  /// The control task records the last outcomes and leaves the membership.
  kLeaving,
  /// The last messages are sent, and the answers to requests that were read
  /// since kAdmin.
  kSending,
  /// The process may end.
  kEnded,
};

/// What the tasks report at the time of a decision.
struct ShutdownReport {
  /// ControlTask::handed_over().
  bool handed_over = false;
  /// ServingTask::drained() of all serving tasks.
  bool callers_answered = false;
  /// AdminTask::drained().
  bool operators_answered = false;
  /// ControlTask::left().
  bool left = false;
};

enum class ShutdownAction {
  kWait,
  /// Close the admin listener.
  kStopAdmin,
  /// Let the control task leave the membership.
  kLeave,
  /// End the process.
  kEndProcess,
};

struct ShutdownStep {
  ShutdownAction action = ShutdownAction::kWait;
  /// The requests that are still open must be ended first. Set once.
  bool end_requests = false;
};

class ShutdownSequence {
 public:
  /// `limit` is the time from Begin() in which the process must end.
  explicit ShutdownSequence(Duration limit);

  /// Returns false if the shutdown has begun before.
  bool Begin(Time now);
  /// Returns the step that is due. Call it every few milliseconds after
  /// Begin() until it returns kEndProcess.
  ShutdownStep Advance(Time now, const ShutdownReport& report);
  ShutdownPhase phase() const { return phase_; }
  /// The process no longer waits for any answer from this time on. Valid after
  /// Begin().
  Time AnswersDeadline() const;

 private:
  ShutdownAction NextAction(Time now, const ShutdownReport& report);
  void Enter(ShutdownPhase phase, Time now);
  /// The time at which requests that are still open are ended.
  Time RequestsEnd() const;
  Time AnswersEnd() const;
  Time LeaveEnd() const;
  Duration SendPeriod() const;

  Duration limit_;
  /// Part of the limit that is kept for the steps after kRequests.
  Duration margin_;
  ShutdownPhase phase_ = ShutdownPhase::kNone;
  Time phase_began_{};
  Time began_{};
  bool requests_ended_ = false;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_SHUTDOWN_SEQUENCE_H_
