// The part of ControlNode that ends an instance: it hands leadership and vote
// over, and answers what it has.
#include <algorithm>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/task.h"
#include "main/node/control_node.h"

namespace cassiausher {
namespace {

// Time to send the last messages after a shutdown begins.
constexpr Duration kLeavePeriod = Milliseconds(400);
constexpr Duration kShutdownPollPeriod = Milliseconds(20);
constexpr Duration kStopAnnouncementPeriod = Milliseconds(100);
// Part of the shutdown grace period in which the process exits before it is
// killed: after the last answers it still waits for readers of the metrics, for
// peers and for the reader of the log, up to 200 ms each.
constexpr Duration kExitMargin = Milliseconds(700);

}  // namespace

void ControlNode::Shutdown(std::function<void()> on_done) {
  if (on_done_) return;
  on_done_ = std::move(on_done);
  shutdown_started_ = BootTimeNow();
  handover_.Begin(shutdown_started_);
  AnnounceStop(shutdown_started_);
  server_->BeginDrain();
  leader_calls_.Stop();
  server_->StopListening();
  shutdown_timer_ = AddTimer(context_, kShutdownPollPeriod,
                             [this] { AdvanceShutdown(BootTimeNow()); });
}

void ControlNode::AdvanceShutdown(Time now) {
  const Duration elapsed = now - shutdown_started_;
  const Duration limit = ServingPart(settings_.shutdown_grace, kExitMargin);
  if (now >= next_announcement_) AnnounceStop(now);
  if (elapsed < std::min(kLeavePeriod, limit)) return;
  const GroupRole role = log_.role(now);
  const bool may_end = handover_.Finished(role, now);
  if (!(Drained() && may_end) && elapsed < limit) return;
  LogVoteAtStop(role, may_end, elapsed);
  shutdown_timer_.reset();
  on_done_();
}

void ControlNode::LogVoteAtStop(const GroupRole& role, bool may_end,
                                Duration elapsed) const {
  const std::string replica = ToString(log_.replica());
  if (may_end) {
    Log(LogLevel::kInfo, "vote_at_stop",
        {{"replica", replica},
         {"votes", role.votes ? "true" : "false"},
         {"elapsed_ms", ToMilliseconds(elapsed)}});
    return;
  }
  Log(LogLevel::kWarning, "vote_not_handed_over",
      {{"replica", replica}, {"elapsed_ms", ToMilliseconds(elapsed)}});
}

void ControlNode::AnnounceStop(Time now) {
  next_announcement_ = now + kStopAnnouncementPeriod;
  log_.Stop(Incarnation(incarnation_), now);
  // Learners too: none that stops may take a vote over.
  if (log_.replica().empty()) return;
  proto::Sync sync;
  *sync.mutable_stopping() = cassiausher::ToProto(log_.replica());
  for (const InstanceId& control : KnownControls()) SendSync(control, sync);
}

void ControlNode::OnPeerProcess(const InstanceId& from, Incarnation process,
                                const proto::Sync& sync, Time now) {
  log_.OnSync(from, process, sync, now);
  if (sync.has_keeps_vote()) handover_.OnAnswer(sync.keeps_vote(), now);
  if (!sync.has_stopping() || !log_.leading()) return;
  proto::Sync answer;
  const ReplicaId replica = cassiausher::FromProto(sync.stopping());
  answer.set_keeps_vote(log_.KeepsVote(replica, now));
  SendSync(from, answer);
}

bool ControlNode::Drained() const { return server_->Drained(); }

void ControlNode::LogCut() const {
  LogCutAnswers(server_->UnsentAnswers(), "control", metrics_);
}

}  // namespace cassiausher
