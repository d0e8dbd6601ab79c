// Compression of texts that are sent to many instances, with zstd.
#ifndef CORE_COMPRESSION_H_
#define CORE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cassiausher {

std::string Compress(std::string_view data);

/// Returns nullopt if `compressed` is malformed or would expand to more than
/// `max_bytes`.
std::optional<std::string> Decompress(std::string_view compressed,
                                      std::size_t max_bytes);

}  // namespace cassiausher

#endif  // CORE_COMPRESSION_H_
