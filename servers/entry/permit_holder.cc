#include "servers/entry/permit_holder.h"

#include <algorithm>
#include <utility>

namespace cassiausher {
namespace {

// More requests than this don't wait for one endpoint; they would be refused.
constexpr std::size_t kMaxWaiting = 32;

}  // namespace

CallPermit PermitHolder::MakePermit(const EndpointId& endpoint,
                                    Time now) const {
  return {endpoint, now + options_.permit_lifetime};
}

std::optional<CallPermit> PermitHolder::TakeSpare(Endpoint& entry, Time now) {
  while (!entry.spare.empty()) {
    const CallPermit permit = entry.spare.front();
    entry.spare.pop_front();
    if (now < permit.returnable_until) return permit;
  }
  return std::nullopt;
}

PermitResult PermitHolder::TakeWithoutAsking(const EndpointId& endpoint,
                                             Time now) {
  const std::optional<RequestRate> limit = limits_->Find(endpoint);
  if (!limit.has_value()) return {.state = PermitState::kUnlimited};
  Endpoint& entry = endpoints_[endpoint];
  if (auto spare = TakeSpare(entry, now)) {
    return {.state = PermitState::kGranted, .permit = *spare};
  }
  if (!IssuerAnswers()) return TakeOwnShare(endpoint, entry, *limit, now);
  return {.state = PermitState::kRefused, .room_at = entry.refused_until};
}

PermitResult PermitHolder::Take(const EndpointId& endpoint, Time now) {
  PermitResult result = TakeWithoutAsking(endpoint, now);
  if (result.state != PermitState::kRefused || !IssuerAnswers()) return result;
  Endpoint& entry = endpoints_[endpoint];
  if (now < entry.refused_until) return result;
  if (entry.waiting.size() >= kMaxWaiting) {
    result.room_at = now + options_.answer_timeout;
    return result;
  }
  const PermitTicket ticket(next_ticket_++);
  entry.waiting.push_back(ticket);
  return {.state = PermitState::kAsked, .ticket = ticket};
}

bool PermitHolder::MayHaveRoom(const EndpointId& endpoint, Time now) const {
  if (!limits_->Find(endpoint).has_value()) return true;
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return true;
  return now >= found->second.refused_until;
}

void PermitHolder::Return(const CallPermit& permit) {
  endpoints_[permit.endpoint].spare.push_back(permit);
}

void PermitHolder::Cancel(PermitTicket ticket) {
  for (auto& [endpoint, entry] : endpoints_) {
    if (std::erase(entry.waiting, ticket) > 0) {
      outcomes_.push_back({ticket, std::nullopt});
    }
  }
}

PermitResult PermitHolder::TakeOwnShare(const EndpointId& endpoint,
                                        Endpoint& entry, RequestRate limit,
                                        Time now) {
  const RequestRate share(limit.value() / entry_instances_);
  if (entry.share_period != share_period_) {
    // All instances lose the issuer at the same time. A random part of the
    // first permit spreads their first calls over the time that one takes.
    entry.share = TokenBucket(random_.Unit(), now);
    entry.share_period = share_period_;
  }
  entry.share.Refill(share, 1, now);
  if (entry.share.Take(1) == 1) {
    return {.state = PermitState::kGranted,
            .permit = MakePermit(endpoint, now)};
  }
  return {.state = PermitState::kRefused,
          .room_at = now + entry.share.UntilNext(share)};
}

void PermitHolder::SetIssuer(const InstanceId& issuer, Time now) {
  if (issuer == issuer_) return;
  const bool answered = IssuerAnswers();
  issuer_ = issuer;
  issuer_silent_ = false;
  if (issuer_.empty()) {
    if (answered) FallBackToOwnShare(now);
    return;
  }
  // Requests that wait for the previous issuer are asked for anew.
  for (auto& [endpoint, entry] : endpoints_) {
    entry.ask.reset();
    entry.refused_until = now;
  }
}

void PermitHolder::SetEntryInstances(std::uint32_t count) {
  entry_instances_ = std::max<std::uint32_t>(1, count);
}

std::vector<PermitAsk> PermitHolder::TakeAsks(Time now) {
  std::vector<PermitAsk> asks;
  if (issuer_.empty()) return asks;
  // An issuer that was left aside is tried with one call for each endpoint.
  const bool trial = issuer_silent_ && now >= next_trial_;
  if (trial) next_trial_ = now + options_.trial_period;
  for (auto& [endpoint, entry] : endpoints_) {
    if (!limits_->Find(endpoint).has_value()) continue;
    const int calls = trial ? 1 : static_cast<int>(entry.waiting.size());
    if (calls == 0 || (entry.ask.has_value() && !trial)) continue;
    entry.ask = {.number = next_ask_++, .calls = calls, .sent_at = now};
    asks.push_back(
        {.number = entry.ask->number, .endpoint = endpoint, .calls = calls});
  }
  return asks;
}

void PermitHolder::OnReply(const InstanceId& from, const PermitReply& reply,
                           Time now) {
  const auto found = endpoints_.find(reply.endpoint);
  if (from != issuer_ || found == endpoints_.end()) return;
  issuer_silent_ = false;
  Endpoint& entry = found->second;
  int permits = reply.granted;
  while (permits > 0 && !entry.waiting.empty()) {
    outcomes_.push_back(
        {entry.waiting.front(), MakePermit(reply.endpoint, now)});
    entry.waiting.pop_front();
    --permits;
  }
  for (; permits > 0; --permits) {
    entry.spare.push_back(MakePermit(reply.endpoint, now));
  }
  const bool late = !entry.ask.has_value() || entry.ask->number != reply.number;
  if (late) return;
  const bool used_up = reply.granted < entry.ask->calls;
  entry.ask.reset();
  if (!used_up) return;
  entry.refused_until = now + reply.retry_after;
  for (const PermitTicket ticket : entry.waiting) {
    outcomes_.push_back({ticket, std::nullopt});
  }
  entry.waiting.clear();
}

void PermitHolder::OnNotIssuer(const InstanceId& from, Time now) {
  if (from == issuer_) SetIssuer(InstanceId(), now);
}

void PermitHolder::ReleaseUnlimited(Time now) {
  std::erase_if(endpoints_, [&](const auto& item) {
    if (limits_->Find(item.first).has_value()) return false;
    for (const PermitTicket ticket : item.second.waiting) {
      outcomes_.push_back({ticket, MakePermit(item.first, now)});
    }
    return true;
  });
}

void PermitHolder::CheckTimeouts(Time now) {
  ReleaseUnlimited(now);
  const bool timed_out =
      std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
        const std::optional<Ask>& ask = item.second.ask;
        return ask.has_value() && now - ask->sent_at >= options_.answer_timeout;
      });
  if (!timed_out || !IssuerAnswers()) return;
  issuer_silent_ = true;
  next_trial_ = now + options_.trial_period;
  FallBackToOwnShare(now);
}

void PermitHolder::FallBackToOwnShare(Time now) {
  ++share_period_;
  for (auto& [endpoint, entry] : endpoints_) {
    entry.ask.reset();
    const std::optional<RequestRate> limit = limits_->Find(endpoint);
    for (const PermitTicket ticket : std::exchange(entry.waiting, {})) {
      PermitOutcome outcome{.ticket = ticket};
      const bool granted = !limit.has_value() ||
                           TakeOwnShare(endpoint, entry, *limit, now).state ==
                               PermitState::kGranted;
      if (granted) outcome.permit = MakePermit(endpoint, now);
      outcomes_.push_back(outcome);
    }
  }
}

std::vector<PermitOutcome> PermitHolder::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

}  // namespace cassiausher
