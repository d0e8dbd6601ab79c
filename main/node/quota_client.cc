#include "main/node/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "core/log.h"

namespace cassiausher {
namespace {

constexpr std::uint64_t kMaxRetryAfterMs = 60'000;

template <typename Messages>
std::vector<QuotaState> ReadStates(const Messages& messages) {
  std::vector<QuotaState> states;
  for (const proto::QuotaState& message : messages) {
    const bool valid = message.share() >= 0 && message.share() <= 1;
    states.push_back({.account = AccountId(message.account()),
                      .open = message.open(),
                      .share = valid ? message.share() : 0});
  }
  return states;
}

}  // namespace

QuotaClient::QuotaClient(std::uint64_t random_seed, Metrics& metrics,
                         NodeLink* link)
    : link_(link),
      refused_(metrics.counter("quota_refusals_total")),
      holder_({.random_seed = random_seed}) {}

QuotaResult QuotaClient::Take(const QuotaCost& cost, Time now) {
  QuotaResult result = holder_.Take(cost, now);
  if (result.verdict == QuotaVerdict::kRefused) refused_.Add();
  return result;
}

void QuotaClient::Await(QuotaTicket ticket, Callback callback, Time now) {
  callbacks_[ticket] = std::move(callback);
  SendAsks(now);
}

void QuotaClient::Cancel(QuotaTicket ticket) {
  callbacks_.erase(ticket);
  holder_.Cancel(ticket);
}

void QuotaClient::Return(const QuotaCost& cost, Time now) {
  holder_.Return(cost.account, cost.units, now);
}

void QuotaClient::SetControls(const ControlDirectory& controls, Time now) {
  const InstanceId issuer = controls.PermitIssuer();
  const auto found = controls.controls().find(issuer);
  const std::uint64_t term =
      found == controls.controls().end() ? 0 : found->second.permit_term;
  if (issuer != holder_.issuer()) {
    Log(LogLevel::kInfo, "quota_issuer_changed", {{"issuer", issuer.value()}});
  }
  if (holder_.SetIssuer(issuer, term, controls.EntryInstances(), now)) {
    history_due_ = true;
  }
  DeliverOutcomes();
}

void QuotaClient::OnUpdate(const InstanceId& from, const proto::Update& update,
                           Time now) {
  if (!update.issues_quotas()) return;
  holder_.OnStates(from, ReadStates(update.quota_states()), now);
}

void QuotaClient::OnChanges(const InstanceId& from,
                            const proto::Changes& changes) {
  holder_.OnChanged(from, ReadStates(changes.quota_states()));
}

void QuotaClient::OnAnswer(const InstanceId& from,
                           const proto::QuotaAnswer& answer, Time now) {
  if (answer.not_issuer() || !std::isfinite(answer.granted())) {
    holder_.OnNotIssuer(from, now);
  } else {
    const std::uint64_t wait_ms =
        std::min(answer.retry_after_ms(), kMaxRetryAfterMs);
    holder_.OnReply(from,
                    {.number = answer.number(),
                     .account = AccountId(answer.account()),
                     .grant = {.granted = std::max(0.0, answer.granted()),
                               .retry_after = Milliseconds(
                                   static_cast<std::int64_t>(wait_ms))}},
                    now);
  }
  DeliverOutcomes();
  SendAsks(now);
}

void QuotaClient::Tick(Time now) {
  holder_.CheckTimeouts(now);
  DeliverOutcomes();
  if (holder_.issuer().empty() || !link_->CanSend(holder_.issuer())) return;
  if (history_due_) {
    SendHistory(now);
  } else {
    SendReport(now);
  }
  SendAsks(now);
}

void QuotaClient::SendAsks(Time now) {
  for (const QuotaAsk& ask : holder_.TakeAsks(now)) {
    proto::NodeMessage message;
    proto::QuotaAsk* body = message.mutable_quota_ask();
    body->set_number(ask.number);
    body->set_account(ask.demand.account.value());
    body->set_first(ask.demand.first);
    body->set_wanted(ask.demand.wanted);
    link_->Send(holder_.issuer(), std::move(message));
  }
}

void QuotaClient::SendHistory(Time now) {
  history_due_ = false;
  proto::NodeMessage message;
  proto::QuotaReport* report = message.mutable_quota_report();
  report->set_is_history(true);
  for (const auto& [account, uses] : holder_.TakeHistory(now)) {
    for (const QuotaUse& use : uses) {
      proto::QuotaUse* body = report->add_uses();
      body->set_account(account.value());
      body->set_units(use.units);
      body->set_age_ms(static_cast<std::uint64_t>(use.age / Milliseconds(1)));
    }
  }
  if (report->uses().empty()) return;
  link_->Send(holder_.issuer(), std::move(message));
}

void QuotaClient::SendReport(Time now) {
  const std::vector<QuotaReportEntry> entries = holder_.TakeReport(now);
  if (entries.empty()) return;
  proto::NodeMessage message;
  proto::QuotaReport* report = message.mutable_quota_report();
  for (const QuotaReportEntry& entry : entries) {
    proto::QuotaUse* body = report->add_uses();
    body->set_account(entry.account.value());
    body->set_units(entry.units);
  }
  link_->Send(holder_.issuer(), std::move(message));
}

void QuotaClient::DeliverOutcomes() {
  for (const QuotaOutcome& outcome : holder_.TakeOutcomes()) {
    if (!outcome.admitted) refused_.Add();
    const auto found = callbacks_.find(outcome.ticket);
    if (found == callbacks_.end()) continue;
    const Callback callback = std::move(found->second);
    callbacks_.erase(found);
    callback(outcome);
  }
}

}  // namespace cassiausher
