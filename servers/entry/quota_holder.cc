#include "servers/entry/quota_holder.h"

#include <algorithm>
#include <utility>

namespace cassiausher {
namespace {

// More requests than this don't wait for one account; they would be refused.
constexpr std::size_t kMaxWaiting = 64;
// The issuer has charged a report after this time, if it tells states at all.
constexpr Duration kChargeTime = Milliseconds(100);
constexpr Duration kHistoryStep = Seconds(1);
constexpr Duration kMinRetryAfter = Milliseconds(200);
constexpr double kMaxRetrySeconds = 5;
constexpr Duration kMaxRetryAfter = FromSeconds(kMaxRetrySeconds);
// A request that costs more than this many bursts can't be within its quota,
// and would leave its account without room for long.
constexpr double kMaxRequestBursts = 2;
// An account counts as half full when an issuer was lost, since it was open.
constexpr double kAssumedLevel = 0.5;

std::int64_t StepOf(Time at) { return at.time_since_epoch() / kHistoryStep; }

}  // namespace

void QuotaHolder::Admit(Account& account, double units, Time now) {
  account.unreported += units;
  const std::int64_t step = StepOf(now);
  account.history[step] += units;
  const std::int64_t oldest = step - options_.history_length / kHistoryStep;
  account.history.erase(account.history.begin(),
                        account.history.lower_bound(oldest));
}

double QuotaHolder::ShareOf(const Account& account, Time now) const {
  const double equal =
      1.0 / static_cast<double>(std::max<std::uint32_t>(1, entry_instances_));
  // Nobody has shared the quota out yet.
  if (!last_states_at_.has_value()) return equal;
  const bool is_old = now - *last_states_at_ >= options_.share_lifetime;
  if (account.share > 0 && !is_old) return account.share;
  return options_.equal_part * equal;
}

double QuotaHolder::OpenAllowance(const Account& account, Time now) const {
  return kAssumedLevel * account.quota.burst * ShareOf(account, now);
}

Duration QuotaHolder::Spread(Duration wait) {
  return FromSeconds(ToSeconds(std::max(wait, kMinRetryAfter)) *
                     (1 + random_.Unit()));
}

QuotaResult QuotaHolder::Take(const QuotaCost& cost, Time now) {
  Account& account = accounts_[cost.account];
  account.quota = cost.quota;
  if (cost.units > kMaxRequestBursts * cost.quota.burst) {
    return {.verdict = QuotaVerdict::kRefused, .retry_after = kMaxRetryAfter};
  }
  if (!IssuerAnswers(now)) return TakeOwnShare(account, cost.units, now);
  // At least one request is admitted between two reports, however small the
  // share: the issuer knows of it before the bucket of an open account is
  // empty.
  const double pending = account.unreported + account.unconfirmed;
  const bool may_admit =
      cost.units <= cost.quota.burst &&
      (pending <= 0 || pending + cost.units <= OpenAllowance(account, now));
  if (account.open && may_admit) {
    Admit(account, cost.units, now);
    return {.verdict = QuotaVerdict::kAdmitted};
  }
  if (now < account.refused_until || account.waiting.size() >= kMaxWaiting) {
    return {.verdict = QuotaVerdict::kRefused,
            .retry_after = Spread(account.room_at - now)};
  }
  const QuotaTicket ticket(next_ticket_++);
  account.waiting.push_back({ticket, cost.units});
  return {.verdict = QuotaVerdict::kAsked, .ticket = ticket};
}

QuotaResult QuotaHolder::TakeOwnShare(Account& account, double units,
                                      Time now) {
  const double share = ShareOf(account, now);
  const double rate = account.quota.per_second * share;
  const double most = account.quota.burst * share;
  if (!account.own_begun) {
    account.own_begun = true;
    account.own_level = account.open ? kAssumedLevel * most : 0;
    account.own_refilled_at = now;
  }
  account.own_level =
      std::min(most, account.own_level +
                         ToSeconds(now - account.own_refilled_at) * rate);
  account.own_refilled_at = now;
  // A share below one request admits it with a chance that makes up for the
  // rest, so that all instances together admit what the quota allows.
  const bool whole = account.own_level >= units;
  const double level = std::max(0.0, account.own_level);
  const bool admitted = whole || random_.Unit() * units < level;
  account.own_level = whole ? account.own_level - units : 0;
  if (admitted) {
    Admit(account, units, now);
    return {.verdict = QuotaVerdict::kAdmitted};
  }
  const double wait = rate > 0 ? units / rate : kMaxRetrySeconds;
  return {.verdict = QuotaVerdict::kRefused,
          .retry_after = Spread(FromSeconds(std::min(wait, kMaxRetrySeconds)))};
}

void QuotaHolder::Return(const AccountId& account, double units, Time now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return;
  Admit(found->second, -units, now);
  found->second.own_level += units;
}

void QuotaHolder::Cancel(QuotaTicket ticket) {
  for (auto& [id, account] : accounts_) {
    std::erase_if(account.waiting, [&](const Waiting& waiting) {
      return waiting.ticket == ticket;
    });
  }
}

bool QuotaHolder::SetIssuer(const InstanceId& issuer, std::uint64_t term,
                            std::uint32_t entry_instances, Time now) {
  entry_instances_ = entry_instances;
  // An issuer of an earlier term has been replaced, and doesn't know it yet.
  const bool is_replaced = !issuer.empty() && term < term_;
  const InstanceId current = is_replaced ? InstanceId() : issuer;
  if (current == issuer_ && (current.empty() || term == term_)) return false;
  const bool is_new = term > term_;
  issuer_ = current;
  term_ = std::max(term_, term);
  ready_ = false;
  ask_timed_out_ = false;
  FallBackToOwnShare(now);
  return is_new && !current.empty();
}

void QuotaHolder::OnStates(const InstanceId& from,
                           const std::vector<QuotaState>& states, Time now) {
  if (from != issuer_) return;
  ready_ = true;
  ask_timed_out_ = false;
  issuer_states_at_ = now;
  last_states_at_ = now;
  const bool charged = now - reported_at_ >= kChargeTime;
  for (auto& [id, account] : accounts_) {
    account.open = true;
    account.share = 0;
    if (charged) account.unconfirmed = 0;
  }
  for (const QuotaState& state : states) {
    Account& account = accounts_[state.account];
    account.open = state.open;
    account.share = state.share;
  }
}

void QuotaHolder::OnChanged(const InstanceId& from,
                            const std::vector<QuotaState>& states) {
  if (from != issuer_) return;
  for (const QuotaState& state : states) {
    Account& account = accounts_[state.account];
    account.open = state.open;
    if (state.open) account.refused_until = {};
  }
}

void QuotaHolder::OnReply(const InstanceId& from, const QuotaReply& reply,
                          Time now) {
  if (from != issuer_) return;
  const auto found = accounts_.find(reply.account);
  if (found == accounts_.end()) return;
  Account& account = found->second;
  const bool expected =
      account.ask.has_value() && account.ask->number == reply.number;
  double left = reply.grant.granted;
  if (expected) {
    account.ask.reset();
    // In order of arrival, each as far as the grant lasts.
    while (!account.waiting.empty() && left >= account.waiting.front().units) {
      const Waiting next = account.waiting.front();
      account.waiting.pop_front();
      left -= next.units;
      Admit(account, next.units, now);
      // The issuer has charged it.
      account.unreported -= next.units;
      outcomes_.push_back({.ticket = next.ticket, .admitted = true});
    }
  }
  // What isn't used goes back with the next report.
  account.unreported -= left;
  if (!expected || reply.grant.retry_after <= Duration(0)) return;
  account.room_at = now + reply.grant.retry_after;
  account.refused_until =
      now + std::min(reply.grant.retry_after, options_.refusal_pause);
  for (const Waiting& waiting : std::exchange(account.waiting, {})) {
    outcomes_.push_back({.ticket = waiting.ticket,
                         .retry_after = Spread(reply.grant.retry_after)});
  }
}

void QuotaHolder::OnNotIssuer(const InstanceId& from, Time now) {
  if (from != issuer_) return;
  ready_ = false;
  FallBackToOwnShare(now);
}

void QuotaHolder::FallBackToOwnShare(Time now) {
  for (auto& [id, account] : accounts_) {
    account.ask.reset();
    for (const Waiting& waiting : std::exchange(account.waiting, {})) {
      const QuotaResult result = TakeOwnShare(account, waiting.units, now);
      outcomes_.push_back(
          {.ticket = waiting.ticket,
           .admitted = result.verdict == QuotaVerdict::kAdmitted,
           .retry_after = result.retry_after});
    }
  }
}

std::vector<QuotaAsk> QuotaHolder::TakeAsks(Time now) {
  std::vector<QuotaAsk> asks;
  if (!IssuerAnswers(now)) return asks;
  for (auto& [id, account] : accounts_) {
    if (account.waiting.empty() || account.ask.has_value()) continue;
    QuotaAsk ask{.number = next_ask_++, .demand = {.account = id}};
    ask.demand.first = account.waiting.front().units;
    for (const Waiting& waiting : account.waiting) {
      ask.demand.wanted += waiting.units;
    }
    account.ask = Ask{.number = ask.number, .sent_at = now};
    asks.push_back(ask);
  }
  return asks;
}

std::vector<QuotaReportEntry> QuotaHolder::TakeReport(Time now) {
  std::vector<QuotaReportEntry> report;
  if (!IssuerAnswers(now) ||
      now - reported_at_ < options_.early_report_period) {
    return report;
  }
  bool is_due = now - reported_at_ >= options_.report_period;
  for (const auto& [id, account] : accounts_) {
    is_due |=
        account.unreported > options_.early_report_share * account.quota.burst;
  }
  if (!is_due) return report;
  for (auto& [id, account] : accounts_) {
    if (account.unreported == 0) continue;
    account.unconfirmed += std::max(0.0, account.unreported);
    report.push_back({id, std::exchange(account.unreported, 0)});
  }
  if (!report.empty()) reported_at_ = now;
  return report;
}

std::map<AccountId, std::vector<QuotaUse>> QuotaHolder::TakeHistory(Time now) {
  std::map<AccountId, std::vector<QuotaUse>> history;
  for (auto& [id, account] : accounts_) {
    account.unreported = 0;
    for (const auto& [step, units] : account.history) {
      // As if all of it was admitted at the end of its second.
      const Duration age =
          std::max(Duration(0), now - Time((step + 1) * kHistoryStep));
      if (age >= options_.history_length || units == 0) continue;
      history[id].push_back({.age = age, .units = units});
    }
  }
  return history;
}

void QuotaHolder::CheckTimeouts(Time now) {
  const bool timed_out =
      std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& item) {
        const std::optional<Ask>& ask = item.second.ask;
        return ask.has_value() && now - ask->sent_at >= options_.answer_timeout;
      });
  if (timed_out) ask_timed_out_ = true;
  if (timed_out || !IssuerAnswers(now)) FallBackToOwnShare(now);
}

std::vector<QuotaOutcome> QuotaHolder::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

}  // namespace cassiausher
