#include "servers/relay/relay_directory.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/hash.h"

namespace cassiausher {

void RelayDirectory::OnReport(const InstanceId& from, RelayReport report,
                              Time now) {
  reports_[from] = {.report = std::move(report), .heard_at = now};
}

std::set<ServiceId> RelayDirectory::OutOfReach(
    const InstanceId& instance) const {
  const auto found = reports_.find(instance);
  if (found == reports_.end()) return {};
  return found->second.report.out_of_reach;
}

std::vector<RelayHelper> RelayDirectory::HelpersFor(const InstanceId& asking,
                                                    const ServiceId& service,
                                                    Time now) const {
  const auto own = reports_.find(asking);
  if (own == reports_.end()) return {};
  using Ranked = std::pair<std::uint64_t, const RelayHelper*>;
  std::vector<Ranked> near;
  std::vector<Ranked> far;
  const std::uint64_t seed = HashText(asking.value(), 0);
  for (const auto& [instance, entry] : reports_) {
    const RelayReport& report = entry.report;
    if (instance == asking || !report.offer || !IsFresh(entry, now)) continue;
    if (report.doubtful.contains(service)) continue;
    const bool is_near = report.data_centre == own->second.report.data_centre;
    (is_near ? near : far)
        .emplace_back(HashText(instance.value(), seed), &*report.offer);
  }
  std::sort(near.begin(), near.end());
  std::sort(far.begin(), far.end());
  const std::size_t from_far =
      std::min(far.size(),
               options_.helpers - std::min(near.size(), options_.helpers / 2));
  near.resize(std::min(near.size(), options_.helpers - from_far));
  far.resize(from_far);
  std::vector<RelayHelper> helpers;
  for (const auto* part : {&near, &far}) {
    for (const auto& [rank, helper] : *part) helpers.push_back(*helper);
  }
  return helpers;
}

std::size_t RelayDirectory::CutOff(const ServiceId& service, Time now) const {
  return static_cast<std::size_t>(
      std::count_if(reports_.begin(), reports_.end(), [&](const auto& item) {
        return IsFresh(item.second, now) &&
               item.second.report.out_of_reach.contains(service);
      }));
}

}  // namespace cassiausher
