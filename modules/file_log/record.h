// Record format of the log files, little endian: payload length (4 bytes),
// kind (4), XXH3 of the payload (8), XXH3 of the header so far (8), payload,
// end byte. The header has its own checksum, so that a corrupt length is not
// mistaken for a truncated record. The end byte is not zero, so that allocated
// but unwritten space is not mistaken for the end of a complete record.
#ifndef MODULES_FILE_LOG_RECORD_H_
#define MODULES_FILE_LOG_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace cassiausher {

enum class RecordKind : std::uint32_t {
  kSegmentStart = 1,
  kEntry = 2,
  kHardState = 3,
  kTruncate = 4,
  kReset = 5,
  kSnapshot = 6,
};

/// `payload` is a serialized message of proto/file_log.proto or of the Raft
/// types, depending on `kind`.
struct Record {
  RecordKind kind = RecordKind::kEntry;
  std::string payload;
};

inline constexpr std::size_t kRecordHeaderBytes = 24;
inline constexpr std::size_t kRecordEndBytes = 1;
/// Smallest unit that disks write, or damage, wholly or not at all.
inline constexpr std::uint64_t kSectorBytes = 512;

/// Appends the encoded record to `file`. `seed` differs between files. The
/// header's checksum covers it and the offset, so that a record is invalid in
/// another file or at another offset.
void EncodeRecord(const Record& record, std::uint64_t seed,
                  std::uint64_t offset, std::string& file);

enum class RecordCheck {
  kValid,
  kIncomplete,   ///< The file ends within the record.
  kNoHeader,     ///< The header's checksum is wrong.
  kUnknownKind,  ///< The header is intact, but a later version wrote it.
  kDamaged,      ///< The payload's checksum or the end byte is wrong.
};

/// Decodes and checks the record at `offset`, which must not exceed the size of
/// `file`. Sets `record` only if it is valid, and `size` to the size of the
/// whole record in bytes if the header is valid.
RecordCheck DecodeRecord(std::string_view file, std::uint64_t seed,
                         std::uint64_t offset, Record& record,
                         std::uint64_t& size);

/// Returns true if a whole sector of the disk, or its part from `offset` on, is
/// zero, or the last byte is: a write from `offset` on was not completed.
bool HasLostSector(std::string_view file, std::uint64_t offset);

/// Returns whether the file ends as every complete record does.
bool EndsAsRecord(std::string_view file);

}  // namespace cassiausher

#endif  // MODULES_FILE_LOG_RECORD_H_
