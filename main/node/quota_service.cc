#include "main/node/quota_service.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "core/log.h"

namespace cassiausher {
namespace {

// Beyond any quota; a larger number would spoil sums.
constexpr double kMaxUnits = 1e15;

bool IsAmount(double units) {
  return std::isfinite(units) && std::abs(units) <= kMaxUnits;
}

void WriteState(const QuotaState& state, proto::QuotaState* message) {
  message->set_account(state.account.value());
  message->set_open(state.open);
  message->set_share(state.share);
}

}  // namespace

QuotaService::QuotaService(const QuotaTolerance& tolerance,
                           const PermitService* permits, Metrics& metrics,
                           NodeLink* link)
    : tolerance_(tolerance),
      permits_(permits),
      link_(link),
      asked_(metrics.counter("quota_asks_total")),
      refused_(metrics.counter("quota_asks_refused_total")),
      accounts_needing_grants_(metrics.gauge("quota_accounts_needing_grants")),
      issuer_({}) {}

void QuotaService::SetConfiguration(const ServingConfiguration& configuration) {
  std::vector<ClientAccount> accounts =
      configuration.accounts.value_or(std::vector<ClientAccount>());
  for (ClientAccount& account : accounts) {
    account.quota = WithTolerance(account.quota, tolerance_);
  }
  has_quotas_ = std::any_of(accounts.begin(), accounts.end(),
                            [](const ClientAccount& account) {
                              return account.quota.per_second > 0;
                            });
  issuer_.SetAccounts(accounts);
}

void QuotaService::OnFollow(const InstanceId& from, Time now) {
  issuer_.OnHeard(from, now);
}

void QuotaService::OnReport(const InstanceId& from,
                            const proto::QuotaReport& report, Time now) {
  Tick(now);
  // Without its quorum for a moment, the issuer of this term still charges what
  // is reported to it.
  if (term_ == 0) return;
  std::map<AccountId, std::vector<QuotaUse>> history;
  issuer_.OnHeard(from, now);
  for (const proto::QuotaUse& use : report.uses()) {
    if (!IsAmount(use.units())) continue;
    const AccountId account(use.account());
    if (report.is_history()) {
      const auto age = Milliseconds(static_cast<std::int64_t>(
          std::min<std::uint64_t>(use.age_ms(), 1U << 30U)));
      history[account].push_back({.age = age, .units = use.units()});
    } else {
      issuer_.Charge(from, account, use.units(), now);
    }
  }
  for (const auto& [account, uses] : history) {
    issuer_.OnHistory(from, account, uses, now);
  }
}

void QuotaService::OnAsk(const InstanceId& from, const proto::QuotaAsk& ask,
                         Time now) {
  Tick(now);
  proto::NodeMessage message;
  proto::QuotaAnswer* answer = message.mutable_quota_answer();
  answer->set_number(ask.number());
  answer->set_account(ask.account());
  const bool readable = IsAmount(ask.first()) && IsAmount(ask.wanted()) &&
                        ask.first() >= 0 && ask.wanted() >= ask.first();
  if (!issues_ || !issuer_.IsReady(now) || !readable) {
    answer->set_not_issuer(true);
  } else {
    const QuotaGrant grant = issuer_.Ask(from,
                                         {.account = AccountId(ask.account()),
                                          .first = ask.first(),
                                          .wanted = ask.wanted()},
                                         now);
    asked_.Add();
    if (grant.granted < ask.wanted()) refused_.Add();
    answer->set_granted(grant.granted);
    answer->set_retry_after_ms(
        static_cast<std::uint64_t>(grant.retry_after / Milliseconds(1)));
  }
  link_->Send(from, std::move(message));
}

bool QuotaService::Tick(Time now) {
  const std::uint64_t term = has_quotas_ ? permits_->IssuerTerm(now) : 0;
  issues_ = term != 0;
  if (!issues_) return false;
  // An issuer that only lost its quorum for a moment keeps what it knows, since
  // there was no other one in its term.
  if (std::exchange(term_, term) != term) {
    issuer_.Begin(now);
    Log(LogLevel::kInfo, "quota_issuer", {{"term", term}});
  }
  for (const QuotaState& state : issuer_.TakeChanged(now)) {
    Log(LogLevel::kInfo, "quota_state_changed",
        {{"account", state.account.value()}, {"open", state.open}});
    changed_.push_back(state);
  }
  accounts_needing_grants_.Set(issuer_.AccountsNeedingGrants());
  return !changed_.empty();
}

void QuotaService::WriteStates(const InstanceId& to, Time now,
                               proto::Update* update) {
  Tick(now);
  if (!issues_ || !issuer_.IsReady(now)) return;
  update->set_issues_quotas(true);
  for (const QuotaState& state : issuer_.StatesFor(to, now)) {
    WriteState(state, update->add_quota_states());
  }
}

void QuotaService::WriteChanged(proto::Changes* changes) {
  for (const QuotaState& state : std::exchange(changed_, {})) {
    WriteState(state, changes->add_quota_states());
  }
}

void QuotaService::Expire(Time now) { issuer_.Expire(now); }

}  // namespace cassiausher
