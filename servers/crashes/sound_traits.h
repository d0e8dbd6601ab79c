// When an instance last completed a call with each trait. Bounded in time and
// in size, whatever traits callers invent.
#ifndef SERVERS_CRASHES_SOUND_TRAITS_H_
#define SERVERS_CRASHES_SOUND_TRAITS_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "core/time.h"
#include "servers/crashes/call_traits.h"

namespace cassiausher {

struct SoundTraitsOptions {
  /// A trait is remembered at least this long, if there is room.
  Duration lifetime = Seconds(60);
  /// Of each of two generations. A trait that is seen again and again stays,
  /// since each answer renews it.
  std::size_t max_traits = 8192;
};

/// Not thread safe.
class SoundTraits {
 public:
  explicit SoundTraits(SoundTraitsOptions options) : options_(options) {}

  /// A call with these traits was answered completely.
  void OnSound(const CallTraits& traits, Time now);
  /// Null if it isn't remembered.
  std::optional<Time> LastSound(TraitId trait) const;
  std::size_t size() const { return current_.size() + previous_.size(); }

 private:
  using Generation = std::unordered_map<TraitId, Time>;

  SoundTraitsOptions options_;
  /// Invariant: at most `max_traits` plus those of one call.
  Generation current_;
  Generation previous_;
  Time current_since_{};
};

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_SOUND_TRAITS_H_
