#include "servers/entry/relay_planner.h"

#include <algorithm>
#include <utility>

namespace cassiausher {

void RelayPlanner::SetHelpers(const InstanceId& control,
                              const ServiceId& service, NamedHelpers named,
                              Time now) {
  named_[service][control] = {.named = std::move(named), .named_at = now};
}

std::vector<RelayHelper> RelayPlanner::Usable(
    const ServiceId& service, const std::set<std::string>& excluded,
    Time now) const {
  std::vector<RelayHelper> usable;
  const auto found = named_.find(service);
  if (found == named_.end()) return usable;
  for (const auto& [control, naming] : found->second) {
    if (now - naming.named_at >= options_.helper_lifetime) continue;
    for (const RelayHelper& helper : naming.named.helpers) {
      if (excluded.contains(helper.address)) continue;
      const auto avoided = avoided_until_.find(helper.address);
      if (avoided != avoided_until_.end() && now < avoided->second) continue;
      // Several control instances name the same ones.
      const bool listed =
          std::find(usable.begin(), usable.end(), helper) != usable.end();
      if (!listed) usable.push_back(helper);
    }
  }
  return usable;
}

std::pair<bool, int> RelayPlanner::Rank(const RelayHelper& helper,
                                        Time now) const {
  const auto found = work_.find(helper.address);
  if (found == work_.end()) return {false, 0};
  const Work& work = found->second;
  const bool is_quiet =
      work.unanswered > 0 && now - work.unanswered_since >= options_.quiet_time;
  return {is_quiet, work.requests};
}

std::optional<RelayHelper> RelayPlanner::Pick(
    const ServiceId& service, const std::set<std::string>& excluded, Time now) {
  std::vector<RelayHelper> usable = Usable(service, excluded, now);
  if (usable.empty()) return std::nullopt;
  std::shuffle(usable.begin(), usable.end(), random_.engine());
  return *std::min_element(usable.begin(), usable.end(),
                           [&](const RelayHelper& a, const RelayHelper& b) {
                             return Rank(a, now) < Rank(b, now);
                           });
}

bool RelayPlanner::AwaitsHelpers(const ServiceId& service, Time now) const {
  const std::optional<Time> since = reach_.OutOfReachSince(service);
  return since.has_value() && now - *since < options_.answer_timeout;
}

std::uint32_t RelayPlanner::CutOff(const ServiceId& service) const {
  const auto found = named_.find(service);
  if (found == named_.end()) return 0;
  std::uint32_t cut_off = 0;
  Time latest{};
  for (const auto& [control, naming] : found->second) {
    if (naming.named_at < latest) continue;
    latest = naming.named_at;
    cut_off = naming.named.cut_off;
  }
  return cut_off;
}

void RelayPlanner::OnStart(const std::string& helper, Time now) {
  Work& work = work_[helper];
  if (work.unanswered == 0) work.unanswered_since = now;
  ++work.requests;
  ++work.unanswered;
}

void RelayPlanner::OnAnswer(const std::string& helper, Time now) {
  Work& work = work_[helper];
  --work.unanswered;
  work.unanswered_since = now;
}

void RelayPlanner::OnEnd(const std::string& helper, RelayEnd end, bool answered,
                         Time now) {
  Work& work = work_[helper];
  if (!answered) --work.unanswered;
  if (--work.requests <= 0) work_.erase(helper);
  std::erase_if(avoided_until_,
                [&](const auto& item) { return now >= item.second; });
  if (end == RelayEnd::kUnable) {
    avoided_until_[helper] = now + options_.helper_backoff;
  }
}

}  // namespace cassiausher
