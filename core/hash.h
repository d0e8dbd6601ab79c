// Hash of a text that is the same in every process and build.
#ifndef CORE_HASH_H_
#define CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace cassiausher {

std::uint64_t HashText(std::string_view text, std::uint64_t seed);

}  // namespace cassiausher

#endif  // CORE_HASH_H_
