#include "modules/file_log/record.h"

#include <xxhash.h>

#include <cstring>

namespace cassiausher {

namespace {

constexpr char kEndByte = '\xA5';
/// Size of the header without its own checksum.
constexpr std::size_t kChecksummedHeaderBytes = 16;

template <typename Number>
void AppendLittleEndian(Number value, std::string& out) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    out.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
  }
}

template <typename Number>
Number ReadLittleEndian(std::string_view bytes) {
  Number value = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    value |= static_cast<Number>(static_cast<unsigned char>(bytes[i]))
             << (8 * i);
  }
  return value;
}

std::uint64_t HeaderChecksum(std::string_view header, std::uint64_t seed,
                             std::uint64_t offset) {
  const std::uint64_t position[] = {seed, offset};
  return XXH3_64bits_withSeed(header.data(), kChecksummedHeaderBytes,
                              XXH3_64bits(position, sizeof(position)));
}

bool IsKnownKind(std::uint32_t kind) {
  return kind >= static_cast<std::uint32_t>(RecordKind::kSegmentStart) &&
         kind <= static_cast<std::uint32_t>(RecordKind::kSnapshot);
}

/// Checks the header's checksum. `header` must hold a whole header.
bool HeaderIsValid(std::string_view header, std::uint64_t seed,
                   std::uint64_t offset) {
  return ReadLittleEndian<std::uint64_t>(header.substr(
             kChecksummedHeaderBytes)) == HeaderChecksum(header, seed, offset);
}

}  // namespace

void EncodeRecord(const Record& record, std::uint64_t seed,
                  std::uint64_t offset, std::string& file) {
  std::string header;
  AppendLittleEndian(static_cast<std::uint32_t>(record.payload.size()), header);
  AppendLittleEndian(static_cast<std::uint32_t>(record.kind), header);
  AppendLittleEndian<std::uint64_t>(
      XXH3_64bits(record.payload.data(), record.payload.size()), header);
  AppendLittleEndian<std::uint64_t>(HeaderChecksum(header, seed, offset),
                                    header);
  file += header;
  file += record.payload;
  file.push_back(kEndByte);
}

RecordCheck DecodeRecord(std::string_view file, std::uint64_t seed,
                         std::uint64_t offset, Record& record,
                         std::uint64_t& size) {
  const std::string_view rest = file.substr(offset);
  if (rest.size() < kRecordHeaderBytes) return RecordCheck::kIncomplete;
  if (!HeaderIsValid(rest, seed, offset)) return RecordCheck::kNoHeader;
  const auto kind = ReadLittleEndian<std::uint32_t>(rest.substr(4));
  if (!IsKnownKind(kind)) return RecordCheck::kUnknownKind;
  const auto length = ReadLittleEndian<std::uint32_t>(rest);
  size = kRecordHeaderBytes + std::uint64_t{length} + kRecordEndBytes;
  if (rest.size() < size) return RecordCheck::kIncomplete;
  const std::string_view payload = rest.substr(kRecordHeaderBytes, length);
  const bool intact = rest[size - 1] == kEndByte &&
                      XXH3_64bits(payload.data(), payload.size()) ==
                          ReadLittleEndian<std::uint64_t>(rest.substr(8));
  if (!intact) return RecordCheck::kDamaged;
  record.kind = static_cast<RecordKind>(kind);
  record.payload = std::string(payload);
  return RecordCheck::kValid;
}

bool HasLostSector(std::string_view file, std::uint64_t offset) {
  if (file.empty() || file.back() == '\0') return true;
  while (offset < file.size()) {
    const std::uint64_t next = (offset / kSectorBytes + 1) * kSectorBytes;
    const std::string_view sector = file.substr(offset, next - offset);
    if (sector.find_first_not_of('\0') == std::string_view::npos) return true;
    offset = next;
  }
  return false;
}

bool EndsAsRecord(std::string_view file) {
  return !file.empty() && file.back() == kEndByte;
}

}  // namespace cassiausher
