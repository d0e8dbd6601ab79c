#include "servers/crashes/call_traits.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace cassiausher {
namespace {

// Seeds of the hashes, so that different kinds of traits never collide by
// having the same text.
constexpr std::uint64_t kPromptPartSeed = 1;
constexpr std::uint64_t kServiceSeed = 2;
constexpr std::uint64_t kTargetSeed = 3;
constexpr std::uint64_t kCallerSeed = 4;

}  // namespace

TraitId PromptPartTrait(std::string_view part) {
  return TraitId(HashText(part, kPromptPartSeed));
}

TraitId RequestTrait(const RequestContent& content, std::string_view body) {
  const std::uint64_t target = HashText(content.target, kTargetSeed);
  return TraitId(HashText(body, target));
}

TraitId CallerRequestTrait(const RequestContent& content,
                           std::string_view body) {
  const std::uint64_t request = RequestTrait(content, body).value();
  return TraitId(HashText(content.caller, request + kCallerSeed));
}

TraitId ServiceTrait(const ServiceId& service) {
  return TraitId(HashText(service.value(), kServiceSeed));
}

CallTraits MakeCallTraits(std::vector<TraitId> traits) {
  std::sort(traits.begin(), traits.end());
  traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
  return traits;
}

bool ContainsAll(const CallTraits& traits, const CallTraits& subset) {
  return std::includes(traits.begin(), traits.end(), subset.begin(),
                       subset.end());
}

std::string ToString(const CallTraits& traits) {
  std::string text;
  for (const TraitId trait : traits) {
    if (!text.empty()) text += ',';
    text += fmt::format("{:016x}", trait.value());
  }
  return text;
}

}  // namespace cassiausher
