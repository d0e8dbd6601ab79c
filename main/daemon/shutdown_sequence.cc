#include "main/daemon/shutdown_sequence.h"

#include <algorithm>

namespace cassiausher {
namespace {

// Time to send the last messages: request progress and the membership leave.
constexpr Duration kSendPeriod = Milliseconds(300);
// Part of the shutdown limit that is kept for the end: the last answers, the
// last outcomes, and what is sent and logged last.
constexpr Duration kEndMargin = Seconds(3);

}  // namespace

ShutdownSequence::ShutdownSequence(Duration limit)
    : limit_(limit), margin_(std::min(kEndMargin, limit / 2)) {}

bool ShutdownSequence::Begin(Time now) {
  if (phase_ != ShutdownPhase::kNone) return false;
  began_ = now;
  Enter(ShutdownPhase::kRequests, now);
  return true;
}

ShutdownStep ShutdownSequence::Advance(Time now, const ShutdownReport& report) {
  if (phase_ == ShutdownPhase::kNone) return {};
  ShutdownStep step;
  step.end_requests = !requests_ended_ && now >= RequestsEnd();
  requests_ended_ |= step.end_requests;
  step.action = NextAction(now, report);
  return step;
}

ShutdownAction ShutdownSequence::NextAction(Time now,
                                            const ShutdownReport& report) {
  const bool idle = report.handed_over && report.callers_answered;
  const bool answered = report.callers_answered && report.operators_answered;
  switch (phase_) {
    case ShutdownPhase::kNone:
      return ShutdownAction::kWait;
    case ShutdownPhase::kRequests:
      if (!idle && now < RequestsEnd()) return ShutdownAction::kWait;
      Enter(ShutdownPhase::kAdmin, now);
      return ShutdownAction::kStopAdmin;
    case ShutdownPhase::kAdmin:
      // Requests on connections that callers keep are still refused.
      if (!(idle && report.operators_answered) && now < AnswersEnd()) {
        return ShutdownAction::kWait;
      }
      Enter(ShutdownPhase::kLeaving, now);
      return ShutdownAction::kLeave;
    case ShutdownPhase::kLeaving:
      if (report.left || now >= LeaveEnd()) {
        Enter(ShutdownPhase::kSending, now);
      }
      return ShutdownAction::kWait;
    case ShutdownPhase::kSending:
      if (now - phase_began_ < SendPeriod()) return ShutdownAction::kWait;
      // Requests that were refused since the leave have answers, too.
      if (!answered && now < AnswersDeadline()) return ShutdownAction::kWait;
      Enter(ShutdownPhase::kEnded, now);
      return ShutdownAction::kEndProcess;
    case ShutdownPhase::kEnded:
      break;
  }
  return ShutdownAction::kEndProcess;
}

void ShutdownSequence::Enter(ShutdownPhase phase, Time now) {
  phase_ = phase;
  phase_began_ = now;
}

Time ShutdownSequence::RequestsEnd() const { return began_ + limit_ - margin_; }

Time ShutdownSequence::AnswersEnd() const {
  return RequestsEnd() + margin_ * 2 / 5;
}

Time ShutdownSequence::LeaveEnd() const {
  return RequestsEnd() + margin_ * 3 / 5;
}

Time ShutdownSequence::AnswersDeadline() const {
  return LeaveEnd() + SendPeriod();
}

Duration ShutdownSequence::SendPeriod() const {
  return std::min(kSendPeriod, margin_ / 5);
}

}  // namespace cassiausher
