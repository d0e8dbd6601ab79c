#include "core/compression.h"

#include <zstd.h>

#include "core/check_invariant.h"

namespace cassiausher {
namespace {

constexpr int kLevel = 3;

}  // namespace

std::string Compress(std::string_view data) {
  std::string compressed(ZSTD_compressBound(data.size()), '\0');
  const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(),
                                         data.data(), data.size(), kLevel);
  CheckInvariant(ZSTD_isError(size) == 0,
                 "a buffer of the bound's size takes any compressed text");
  compressed.resize(size);
  // The buffer has the size of the uncompressed text.
  compressed.shrink_to_fit();
  return compressed;
}

std::optional<std::string> Decompress(std::string_view compressed,
                                      std::size_t max_bytes) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  // The error codes are larger than any size.
  if (size > max_bytes) return std::nullopt;
  std::string data(static_cast<std::size_t>(size), '\0');
  const std::size_t result = ZSTD_decompress(
      data.data(), data.size(), compressed.data(), compressed.size());
  if (ZSTD_isError(result) != 0 || result != data.size()) return std::nullopt;
  return data;
}

}  // namespace cassiausher
