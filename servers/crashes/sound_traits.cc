#include "servers/crashes/sound_traits.h"

#include <utility>

namespace cassiausher {

void SoundTraits::OnSound(const CallTraits& traits, Time now) {
  const bool full = current_.size() >= options_.max_traits;
  if (full || now - current_since_ >= options_.lifetime) {
    previous_ = std::exchange(current_, {});
    current_since_ = now;
  }
  for (const TraitId trait : traits) current_[trait] = now;
}

std::optional<Time> SoundTraits::LastSound(TraitId trait) const {
  for (const Generation* generation : {&current_, &previous_}) {
    const auto found = generation->find(trait);
    if (found != generation->end()) return found->second;
  }
  return std::nullopt;
}

}  // namespace cassiausher
