#include "servers/crashes/call_tally.h"

namespace cassiausher {
namespace {

// Calls assumed in addition to the counted ones, so that an instance that has
// seen few answers doesn't take crashes for unlikely.
constexpr double kAssumedCalls = 2;
constexpr double kAssumedBrokenCalls = 1;

}  // namespace

void CallTally::OnSound(TraitId service, Time now) {
  Expire(now);
  ++sound_[service].current;
}

void CallTally::OnBroken(TraitId service, const EndpointRun& run, Time now) {
  Broken& broken = broken_[run];
  broken.service = service;
  ++broken.calls;
  broken.last_at = now;
}

void CallTally::Expire(Time now) {
  if (now - rotated_at_ < half_window_) return;
  rotated_at_ = now;
  for (auto& [service, sound] : sound_) sound = {.previous = sound.current};
  std::erase_if(sound_,
                [](const auto& item) { return item.second.previous == 0; });
  std::erase_if(broken_, [&](const auto& item) {
    return now - item.second.last_at >= 2 * half_window_;
  });
}

double CallTally::CrashProbability(
    TraitId service,
    const std::function<bool(const EndpointRun&)>& is_explained) const {
  double broken = 0;
  for (const auto& [run, calls] : broken_) {
    if (calls.service == service && !is_explained(run)) broken += calls.calls;
  }
  double sound = 0;
  const auto found = sound_.find(service);
  if (found != sound_.end()) {
    sound = found->second.current + found->second.previous;
  }
  return (broken + kAssumedBrokenCalls) / (broken + sound + kAssumedCalls);
}

}  // namespace cassiausher
