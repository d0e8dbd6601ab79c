#include "core/hash.h"

#include <xxhash.h>

namespace cassiausher {

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace cassiausher
