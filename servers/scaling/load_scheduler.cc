// Token bucket, concurrency limit and precedence of weight loads.
#include "servers/scaling/load_scheduler.h"

#include <algorithm>

#include "core/check_invariant.h"

namespace cassiausher {

void LoadScheduler::Advance(Time now) {
  const double burst = static_cast<double>(options_.burst.value());
  if (advanced_at_ && now > *advanced_at_) {
    level_ += options_.bytes_per_second * ToSeconds(now - *advanced_at_);
    level_ = std::min(level_, burst);
  }
  advanced_at_ = advanced_at_ ? std::max(*advanced_at_, now) : now;
  std::erase_if(running_, [now](const auto& entry) {
    return entry.second.ends_at && *entry.second.ends_at <= now;
  });
  std::erase_if(waiting_, [&](const auto& entry) {
    return now - entry.second.last_request > options_.wait_expiry;
  });
}

bool LoadScheduler::Precedes(const Waiting& a, const Waiting& b,
                             Time now) const {
  const bool a_starved = now - a.since >= options_.starved_after;
  const bool b_starved = now - b.since >= options_.starved_after;
  if (a_starved != b_starved) return a_starved;
  const double a_refused = a.request.refused_tokens_per_second;
  const double b_refused = b.request.refused_tokens_per_second;
  if (!a_starved && a_refused != b_refused) return a_refused > b_refused;
  if (a.since != b.since) return a.since < b.since;
  return a.request.endpoint < b.request.endpoint;
}

bool LoadScheduler::TryStart(const LoadRequest& request, Time now) {
  Advance(now);
  if (running_.contains(request.endpoint)) {
    ++counters_.delayed_by_count;
    return false;
  }
  Waiting& own = waiting_.try_emplace(request.endpoint, Waiting{.since = now})
                     .first->second;
  own.request = request;
  own.last_request = now;
  if (running() >= options_.loads_at_once) {
    ++counters_.delayed_by_count;
    return false;
  }
  for (const auto& [endpoint, other] : waiting_) {
    if (endpoint == request.endpoint || !Precedes(other, own, now)) continue;
    ++counters_.delayed_by_priority;
    return false;
  }
  const double size = static_cast<double>(request.size.value());
  if (level_ < std::min(size, static_cast<double>(options_.burst.value()))) {
    ++counters_.delayed_by_rate;
    return false;
  }
  level_ -= size;
  waiting_.erase(request.endpoint);
  running_.emplace(request.endpoint, Running{.size = request.size});
  CheckInvariant(
      running() <= options_.loads_at_once,
      "running loads don't exceed the maximum number of concurrent loads");
  ++counters_.started;
  return true;
}

void LoadScheduler::Finish(const EndpointId& endpoint) {
  counters_.finished += running_.erase(endpoint);
}

void LoadScheduler::Cancel(const EndpointId& endpoint) {
  const auto found = running_.find(endpoint);
  if (found == running_.end()) return;
  level_ = std::min(level_ + static_cast<double>(found->second.size.value()),
                    static_cast<double>(options_.burst.value()));
  running_.erase(found);
  ++counters_.cancelled;
}

void LoadScheduler::Abandon(const EndpointId& endpoint, Time now) {
  const auto found = running_.find(endpoint);
  if (found == running_.end()) return;
  const double rate = options_.bytes_per_second / options_.loads_at_once;
  found->second.ends_at =
      now + FromSeconds(static_cast<double>(found->second.size.value()) / rate);
  ++counters_.abandoned;
}

}  // namespace cassiausher
