// What calls have in common: the parts of their prompts, or all of the request
// if it is sent again. A trait is a hash, so that its size doesn't depend on
// what callers send.
#ifndef SERVERS_CRASHES_CALL_TRAITS_H_
#define SERVERS_CRASHES_CALL_TRAITS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/strong_number.h"

namespace cassiausher {

/// Hash of something that several calls may have in common.
using TraitId = StrongNumber<struct TraitIdTag, std::uint64_t>;

/// Sorted, without repetitions.
using CallTraits = std::vector<TraitId>;

/// Further parts of a prompt are left out, so that callers can't make the
/// traits of a call arbitrarily many.
inline constexpr std::size_t kMaxTraitsOfCall = 32;

/// A part of a prompt that several prompts share, by its id.
TraitId PromptPartTrait(std::string_view part);

/// What a request consists of but its body, as one text.
struct RequestContent {
  /// Method, host, path and query.
  std::string target;
  /// What identifies the caller.
  std::string caller;
};

/// The request, whoever sends it and however often.
TraitId RequestTrait(const RequestContent& content, std::string_view body);
/// The request of this caller.
TraitId CallerRequestTrait(const RequestContent& content,
                           std::string_view body);
/// Any call to the service.
TraitId ServiceTrait(const ServiceId& service);

/// Sorts the traits and removes repetitions.
CallTraits MakeCallTraits(std::vector<TraitId> traits);
/// Whether `traits` has every trait of `subset`.
bool ContainsAll(const CallTraits& traits, const CallTraits& subset);

/// In hexadecimal, separated by commas; for log lines and operators.
std::string ToString(const CallTraits& traits);

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_CALL_TRAITS_H_
