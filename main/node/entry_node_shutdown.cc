// The part of EntryNode that ends an instance: it answers what it has, and
// nothing that the end of the process would cut.
#include <algorithm>
#include <utility>

#include "drivers/clock.h"
#include "main/node/entry_node.h"

namespace cassiausher {
namespace {

// The load balancer probes readiness once a second and removes an instance
// after two failed probes; until then new requests still arrive.
constexpr Duration kBalancerDelay = Milliseconds(3400);
// Part of the shutdown grace period in which the process exits before it is
// killed: after the last answers it still waits for readers of the metrics, for
// peers and for the reader of the log, up to 200 ms each.
constexpr Duration kExitMargin = Milliseconds(850);
// Time to send the answers of requests that the end of the grace period cuts.
constexpr Duration kLastAnswerPeriod = Milliseconds(150);
constexpr Duration kShutdownPollPeriod = Milliseconds(50);

}  // namespace

Duration EntryNode::ServingPeriod() const {
  return ServingPart(settings_.shutdown_grace, kExitMargin);
}

void EntryNode::Shutdown(std::function<void()> on_done) {
  if (on_done_) return;
  on_done_ = std::move(on_done);
  shutdown_started_ = BootTimeNow();
  callers_->BeginDrain();
  readiness_->BeginDrain();
  if (relay_server_) relay_server_->BeginDrain();
  // Tells control instances that this one is no helper any more.
  FollowControls(shutdown_started_);
  shutdown_timer_ = AddTimer(context_, kShutdownPollPeriod,
                             [this] { AdvanceShutdown(BootTimeNow()); });
}

bool EntryNode::Drained() const {
  return requests_.empty() && callers_->Drained() && readiness_->Drained() &&
         (!relay_server_ || relay_server_->Drained());
}

void EntryNode::AdvanceShutdown(Time now) {
  const Duration elapsed = now - shutdown_started_;
  const Duration limit = ServingPeriod();
  if (listening_ && elapsed >= std::min(kBalancerDelay, limit)) {
    callers_->StopListening();
    readiness_->StopListening();
    if (relay_server_) relay_server_->StopListening();
    listening_ = false;
  }
  if (!cut_ && elapsed >= limit) CutRequests();
  const bool drained = !listening_ && Drained();
  if (!drained && elapsed < limit + kLastAnswerPeriod) return;
  shutdown_timer_.reset();
  on_done_();
}

void EntryNode::LogCut() const {
  std::vector<UnsentAnswer> answers = callers_->UnsentAnswers();
  answers.insert(answers.end(), cut_streams_.begin(), cut_streams_.end());
  LogCutAnswers(answers, "callers", metrics_);
  LogCutAnswers(readiness_->UnsentAnswers(), "readiness", metrics_);
  if (relay_server_) {
    LogCutAnswers(relay_server_->UnsentAnswers(), "relay", metrics_);
  }
}

void EntryNode::CutRequests() {
  cut_ = true;
  // Each one erases itself from the map.
  const auto requests = requests_;
  for (const auto& [number, request] : requests) {
    if (!request->Cut()) continue;
    cut_streams_.push_back({.label = request->id().value()});
  }
}

}  // namespace cassiausher
