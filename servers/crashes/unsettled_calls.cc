#include "servers/crashes/unsettled_calls.h"

#include <iterator>
#include <utility>

namespace cassiausher {

void UnsettledCalls::Add(const EndpointRun& run, UnsettledCall call) {
  const bool full = calls_.size() >= options_.max_runs;
  if (full && !calls_.contains(run)) return;
  std::deque<UnsettledCall>& of_run = calls_[run];
  of_run.push_back(std::move(call));
  if (of_run.size() > options_.max_calls_of_run) of_run.pop_front();
}

std::vector<UnsettledCall> UnsettledCalls::Take(const EndpointRun& run,
                                                Time time) {
  std::vector<UnsettledCall> taken;
  const auto found = calls_.find(run);
  if (found == calls_.end()) return taken;
  std::deque<UnsettledCall>& of_run = found->second;
  while (!of_run.empty() && of_run.front().ended_at < time) {
    taken.push_back(std::move(of_run.front()));
    of_run.pop_front();
  }
  if (of_run.empty()) calls_.erase(found);
  return taken;
}

void UnsettledCalls::Expire(Time now) {
  const auto is_old = [&](const UnsettledCall& call) {
    return now - call.ended_at >= options_.lifetime;
  };
  for (auto of_run = calls_.begin(); of_run != calls_.end();) {
    std::erase_if(of_run->second, is_old);
    of_run = of_run->second.empty() ? calls_.erase(of_run) : std::next(of_run);
  }
}

}  // namespace cassiausher
