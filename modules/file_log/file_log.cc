#include "modules/file_log/file_log.h"

#include <fmt/format.h>
#include <google/protobuf/unknown_field_set.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <utility>

#include "proto/gen/file_log.pb.h"

namespace cassiausher {

namespace {

constexpr std::string_view kSegmentPrefix = "segment-";
constexpr char kSnapshotName[] = "snapshot";
constexpr char kSnapshotTemporary[] = "snapshot.tmp";
/// Checksum seed of the snapshot file. Segments use their sequence number,
/// which starts at 1, as the seed.
constexpr std::uint64_t kSnapshotSeed = 0;

std::string SegmentName(std::uint64_t sequence) {
  return fmt::format("{}{:016x}", kSegmentPrefix, sequence);
}

/// Runs a best-effort operation and ignores its error, so that it does not
/// replace the error being reported.
template <typename Operation>
void IgnoreFailure(Operation operation) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> { return operation(); },
      [](const StorageError&) {}, [] {});
}

/// Returns nullopt if `name` is not the name of a segment file.
std::optional<std::uint64_t> SegmentSequence(const std::string& name) {
  if (!name.starts_with(kSegmentPrefix)) return std::nullopt;
  std::uint64_t sequence = 0;
  const char* end = name.data() + name.size();
  const auto parsed =
      std::from_chars(name.data() + kSegmentPrefix.size(), end, sequence, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  if (name != SegmentName(sequence)) return std::nullopt;
  return sequence;
}

/// Field of the payload that marks a record as written together with the one
/// before it. No message of proto/ has it, and readers ignore unknown fields.
/// Records of versions without this mark count as written on their own.
constexpr int kContinuesWriteField = 1000;

std::string ContinuesWriteMark() {
  google::protobuf::UnknownFieldSet fields;
  fields.AddVarint(kContinuesWriteField, 1);
  std::string bytes;
  fields.SerializeToString(&bytes);
  return bytes;
}

bool ContinuesWrite(const Record& record) {
  google::protobuf::UnknownFieldSet fields;
  if (!fields.ParseFromString(record.payload)) return false;
  for (int i = 0; i < fields.field_count(); ++i) {
    if (fields.field(i).number() == kContinuesWriteField) return true;
  }
  return false;
}

/// Returns true if a valid record that begins a write starts at any byte after
/// `offset`. Everything before it was synced.
bool HasWriteAfter(std::string_view file, std::uint64_t seed,
                   std::uint64_t offset) {
  Record record;
  std::uint64_t size = 0;
  for (++offset; offset + kRecordHeaderBytes <= file.size(); ++offset) {
    const RecordCheck check = DecodeRecord(file, seed, offset, record, size);
    if (check == RecordCheck::kValid && !ContinuesWrite(record)) return true;
    if (check == RecordCheck::kUnknownKind) return true;
  }
  return false;
}

/// Returns true if the bytes from `offset` on, where no record begins, were
/// never a synced write: they don't end as one, no header stands in them, and
/// their first sector has intact records before them, so that the disk hasn't
/// damaged it.
bool IsNoise(std::string_view file, std::uint64_t seed, std::uint64_t offset) {
  if (offset % kSectorBytes == 0 || EndsAsRecord(file)) return false;
  Record record;
  std::uint64_t size = 0;
  for (++offset; offset + kRecordHeaderBytes <= file.size(); ++offset) {
    const RecordCheck check = DecodeRecord(file, seed, offset, record, size);
    if (check != RecordCheck::kNoHeader) return false;
  }
  return true;
}

/// Appends the encoded records of one write that begins at `offset`. `bytes`
/// holds what of it was encoded before.
void EncodeWrite(const std::vector<Record>& records, std::uint64_t seed,
                 std::uint64_t offset, std::string& bytes) {
  const std::string mark = ContinuesWriteMark();
  for (const Record& record : records) {
    if (bytes.empty()) {
      EncodeRecord(record, seed, offset, bytes);
      continue;
    }
    EncodeRecord({record.kind, record.payload + mark}, seed,
                 offset + bytes.size(), bytes);
  }
}

}  // namespace

FileLog::FileLog(std::unique_ptr<FileSystem> files, FileLogOptions options)
    : files_(std::move(files)), options_(options) {}

boost::leaf::error_id FileLog::Corrupt(const std::string& name,
                                       std::uint64_t offset,
                                       const std::string& message) const {
  return boost::leaf::new_error(StorageError{
      StorageError::Code::kCorrupt, files_->Path(name), offset, message});
}

boost::leaf::error_id FileLog::UnknownFormat(const std::string& name,
                                             std::uint64_t offset) const {
  return boost::leaf::new_error(
      StorageError{StorageError::Code::kUnknownFormat, files_->Path(name),
                   offset, "the record isn't one that this version knows"});
}

boost::leaf::error_id FileLog::Misuse(const std::string& message) const {
  return boost::leaf::new_error(
      StorageError{StorageError::Code::kMisuse, "", 0, message});
}

// --- Load ------------------------------------------------------------------

boost::leaf::result<StoredState> FileLog::Load() {
  BOOST_LEAF_CHECK(files_->Open());
  BOOST_LEAF_AUTO(names, files_->List());
  Replay replay;
  bool has_snapshot = false;
  for (const std::string& name : names) {
    if (name == kSnapshotName) has_snapshot = true;
    if (name == kSnapshotTemporary) {
      BOOST_LEAF_CHECK(files_->Remove(name));
      replay.findings.Add(files_->Path(name),
                          "removed a snapshot that was not finished");
    }
    if (const auto sequence = SegmentSequence(name)) {
      segments_.push_back({*sequence, 0});
    }
  }
  for (std::size_t i = 0; i < segments_.size(); ++i) {
    const std::string name = SegmentName(segments_[i].sequence);
    if (i > 0 && segments_[i].sequence != segments_[i - 1].sequence + 1) {
      return Corrupt(SegmentName(segments_[i - 1].sequence + 1), 0,
                     "the segment is missing");
    }
    const bool is_last = i + 1 == segments_.size();
    BOOST_LEAF_CHECK(ReplaySegment(name, is_last, replay));
  }
  BOOST_LEAF_CHECK(SyncLoaded());
  BOOST_LEAF_AUTO(snapshot, LoadSnapshot());
  // The segments store this replica's votes; without them it could vote twice
  // in a term.
  if (has_snapshot && segments_.empty()) {
    return Corrupt(SegmentName(1), 0, "there is a snapshot but no segment");
  }
  return ReconcileWithSnapshot(std::move(replay), std::move(snapshot));
}

boost::leaf::result<void> FileLog::SyncLoaded() {
  // Earlier segments were synced before the last one was created.
  if (!segments_.empty()) {
    const std::string name = SegmentName(segments_.back().sequence);
    BOOST_LEAF_CHECK(files_->SyncFile(name));
  }
  return files_->SyncFolder();
}

boost::leaf::result<void> FileLog::ReplaySegment(const std::string& name,
                                                 bool is_last, Replay& replay) {
  BOOST_LEAF_AUTO(content, files_->Read(name));
  const std::uint64_t sequence = *SegmentSequence(name);
  std::uint64_t offset = 0;
  while (offset < content.size() || offset == 0) {
    Record record;
    std::uint64_t size = 0;
    const RecordCheck check =
        DecodeRecord(content, sequence, offset, record, size);
    if (check == RecordCheck::kUnknownKind) return UnknownFormat(name, offset);
    if (check != RecordCheck::kValid) {
      return TruncateTornTail(name, sequence, content, offset, is_last, check,
                              replay);
    }
    if (offset == 0) {
      BOOST_LEAF_CHECK(ReplayStart(name, sequence, record, replay));
    } else {
      BOOST_LEAF_CHECK(ReplayRecord(name, offset, record, replay));
    }
    for (Segment& segment : segments_) {
      if (segment.sequence != sequence) continue;
      segment.max_index = std::max(segment.max_index, replay.last());
    }
    offset += size;
    synced_size_ = offset;
  }
  return {};
}

boost::leaf::result<void> FileLog::TruncateTornTail(
    const std::string& name, std::uint64_t sequence, const std::string& content,
    std::uint64_t offset, bool is_last, RecordCheck check, Replay& replay) {
  // After a crash, an unsynced write is truncated or lacks sectors, and no
  // later write follows it. Anything else but noise is corruption of synced
  // data.
  const bool noise =
      check == RecordCheck::kNoHeader && IsNoise(content, sequence, offset);
  const bool torn = check == RecordCheck::kIncomplete || noise ||
                    HasLostSector(content, offset);
  if (!is_last || !torn || HasWriteAfter(content, sequence, offset)) {
    return Corrupt(name, offset,
                   check == RecordCheck::kIncomplete
                       ? "the file ends within a record"
                       : "the record's checksum does not match");
  }
  if (offset == 0) {
    // The crash came while the segment was being created, so it holds no synced
    // record.
    BOOST_LEAF_CHECK(files_->Remove(name));
    BOOST_LEAF_CHECK(files_->SyncFolder());
    segments_.pop_back();
    if (!segments_.empty()) {
      BOOST_LEAF_AUTO(previous,
                      files_->Read(SegmentName(segments_.back().sequence)));
      synced_size_ = previous.size();
    }
    replay.findings.Add(files_->Path(name),
                        "removed a segment that was not finished");
    return {};
  }
  BOOST_LEAF_CHECK(files_->Truncate(name, offset));
  BOOST_LEAF_CHECK(files_->SyncFile(name));
  replay.findings.Add(
      files_->Path(name),
      fmt::format("cut {} bytes of an unfinished write at offset {}",
                  content.size() - offset, offset));
  return {};
}

boost::leaf::result<void> FileLog::ReplayStart(const std::string& name,
                                               std::uint64_t sequence,
                                               const Record& record,
                                               Replay& replay) {
  proto::FileLogSegmentStart start;
  if (record.kind != RecordKind::kSegmentStart ||
      !start.ParseFromString(record.payload) || start.sequence() != sequence) {
    return Corrupt(name, 0, "the file does not begin as a segment");
  }
  const bool is_first = segments_.front().sequence == sequence;
  if (is_first) {
    replay.base = start.previous_index();
    replay.hard_state = FromProto(start.hard_state());
    return {};
  }
  if (start.previous_index() != replay.last()) {
    return Corrupt(name, 0,
                   fmt::format("the segment follows entry {}, but the segment "
                               "before ends with {}",
                               start.previous_index(), replay.last()));
  }
  return {};
}

boost::leaf::result<void> FileLog::ReplayRecord(const std::string& name,
                                                std::uint64_t offset,
                                                const Record& record,
                                                Replay& replay) {
  // Its checksum holds, so that it is as it was written.
  const auto malformed = [&] { return UnknownFormat(name, offset); };
  switch (record.kind) {
    case RecordKind::kEntry: {
      proto::RaftEntry message;
      if (!message.ParseFromString(record.payload)) return malformed();
      auto entry = FromProto(message);
      if (!entry || entry->index != replay.last() + 1) return malformed();
      replay.entries.push_back(std::move(*entry));
      return {};
    }
    case RecordKind::kHardState: {
      proto::RaftHardState message;
      if (!message.ParseFromString(record.payload)) return malformed();
      replay.hard_state = FromProto(message);
      return {};
    }
    case RecordKind::kTruncate: {
      proto::FileLogTruncate message;
      if (!message.ParseFromString(record.payload)) return malformed();
      if (message.first_removed() == 0) return malformed();
      while (!replay.entries.empty() &&
             replay.last() >= message.first_removed()) {
        replay.entries.pop_back();
      }
      // If this lowers `base`, the entries up to it are covered by the snapshot
      // and were removed.
      replay.base = std::min(replay.base, message.first_removed() - 1);
      return {};
    }
    case RecordKind::kReset: {
      proto::FileLogReset message;
      if (!message.ParseFromString(record.payload)) return malformed();
      replay.entries.clear();
      replay.base = message.index();
      return {};
    }
    default:
      return malformed();
  }
}

boost::leaf::result<StoredState> FileLog::ReconcileWithSnapshot(
    Replay replay, std::optional<Snapshot> snapshot) {
  snapshot_index_ = snapshot ? snapshot->index : 0;
  compact_to_ = snapshot_index_;
  if (replay.base > snapshot_index_) {
    return Corrupt(kSnapshotName, 0,
                   fmt::format("entries {} to {} are in neither the snapshot "
                               "nor a segment",
                               snapshot_index_ + 1, replay.base));
  }
  StoredState state;
  state.hard_state = replay.hard_state;
  state.findings = replay.findings;
  last_index_ = durable_last_index_ = replay.last();
  hard_state_ = durable_hard_state_ = replay.hard_state;
  // Log entry at the snapshot's index, or null if the log does not contain it.
  const LogEntry* snapshot_entry = nullptr;
  if (snapshot_index_ > replay.base && snapshot_index_ <= replay.last()) {
    snapshot_entry = &replay.entries[snapshot_index_ - replay.base - 1];
  }
  const bool continues =
      replay.base == snapshot_index_ ||
      (snapshot_entry != nullptr && snapshot_entry->term == snapshot->term);
  if (continues) {
    const LogIndex skipped = snapshot_index_ - replay.base;
    state.entries.assign(
        replay.entries.begin() + static_cast<std::ptrdiff_t>(skipped),
        replay.entries.end());
  } else {
    // The replica crashed after it saved a received snapshot and before it
    // reset the log.
    state.findings.Add(files_->Path(kSnapshotName),
                       "the log does not reach the snapshot; its entries are "
                       "replaced by the snapshot");
    BOOST_LEAF_CHECK(Reset(snapshot->index, snapshot->term));
  }
  state.snapshot = std::move(snapshot);
  return state;
}

boost::leaf::result<std::optional<Snapshot>> FileLog::LoadSnapshot() {
  BOOST_LEAF_AUTO(names, files_->List());
  if (!std::ranges::binary_search(names, std::string(kSnapshotName))) {
    return std::optional<Snapshot>();
  }
  BOOST_LEAF_AUTO(content, files_->Read(kSnapshotName));
  Record record;
  std::uint64_t size = 0;
  const RecordCheck check =
      DecodeRecord(content, kSnapshotSeed, 0, record, size);
  proto::RaftSnapshot message;
  if (check != RecordCheck::kValid || size != content.size() ||
      record.kind != RecordKind::kSnapshot ||
      !message.ParseFromString(record.payload)) {
    return Corrupt(kSnapshotName, 0, "the snapshot's checksum does not match");
  }
  auto snapshot = FromProto(message);
  if (!snapshot) return UnknownFormat(kSnapshotName, 0);
  return snapshot;
}

// --- Changes ---------------------------------------------------------------

void FileLog::AddRecord(RecordKind kind, std::string payload) {
  pending_records_.push_back({kind, std::move(payload)});
}

boost::leaf::result<void> FileLog::Append(
    const std::vector<LogEntry>& entries) {
  LogIndex expected = last_index_ + 1;
  for (const LogEntry& entry : entries) {
    if (entry.index != expected++) {
      return Misuse(fmt::format("entry {} does not follow entry {}",
                                entry.index, last_index_));
    }
  }
  for (const LogEntry& entry : entries) {
    AddRecord(RecordKind::kEntry, ToProto(entry).SerializeAsString());
    last_index_ = entry.index;
  }
  pending_max_index_ = std::max(pending_max_index_, last_index_);
  return {};
}

boost::leaf::result<void> FileLog::TruncateSuffix(LogIndex first_removed) {
  if (first_removed <= compact_to_) {
    return Misuse(
        fmt::format("entry {} is covered by the snapshot", first_removed));
  }
  if (first_removed > last_index_) return {};
  proto::FileLogTruncate message;
  message.set_first_removed(first_removed);
  AddRecord(RecordKind::kTruncate, message.SerializeAsString());
  last_index_ = first_removed - 1;
  return {};
}

boost::leaf::result<void> FileLog::Reset(LogIndex index, Term term) {
  if (index > snapshot_index_) {
    return Misuse(fmt::format("entry {} is not covered by a snapshot", index));
  }
  proto::FileLogReset message;
  message.set_index(index);
  message.set_term(term);
  AddRecord(RecordKind::kReset, message.SerializeAsString());
  last_index_ = index;
  return {};
}

boost::leaf::result<void> FileLog::SaveHardState(const HardState& state) {
  AddRecord(RecordKind::kHardState, ToProto(state).SerializeAsString());
  hard_state_ = state;
  return {};
}

boost::leaf::result<void> FileLog::SaveSnapshot(Snapshot snapshot) {
  if (snapshot.index <= snapshot_index_) {
    return Misuse(fmt::format("snapshot {} is older than snapshot {}",
                              snapshot.index, snapshot_index_));
  }
  snapshot_index_ = snapshot.index;
  pending_snapshot_ = std::move(snapshot);
  return {};
}

boost::leaf::result<void> FileLog::CompactPrefix(LogIndex last_removed) {
  if (last_removed > snapshot_index_) {
    return Misuse(
        fmt::format("entry {} is not covered by a snapshot", last_removed));
  }
  compact_to_ = std::max(compact_to_, last_removed);
  return {};
}

boost::leaf::result<void> FileLog::Sync() {
  BOOST_LEAF_CHECK(SyncSnapshot());
  BOOST_LEAF_CHECK(SyncRecords());
  RemoveCompacted();
  return {};
}

boost::leaf::result<void> FileLog::SyncSnapshot() {
  if (!pending_snapshot_) return {};
  std::string content;
  EncodeRecord(
      {RecordKind::kSnapshot, ToProto(*pending_snapshot_).SerializeAsString()},
      kSnapshotSeed, 0, content);
  auto write = [&]() -> boost::leaf::result<void> {
    BOOST_LEAF_CHECK(files_->Remove(kSnapshotTemporary));
    BOOST_LEAF_CHECK(files_->Write(kSnapshotTemporary, 0, content));
    BOOST_LEAF_CHECK(files_->SyncFile(kSnapshotTemporary));
    return files_->Rename(kSnapshotTemporary, kSnapshotName);
  };
  auto written = write();
  if (!written) {
    // Frees the disk space of the partial file.
    IgnoreFailure([&] { return files_->Remove(kSnapshotTemporary); });
    return written;
  }
  BOOST_LEAF_CHECK(files_->SyncFolder());
  pending_snapshot_.reset();
  return {};
}

boost::leaf::result<void> FileLog::SyncRecords() {
  if (pending_records_.empty()) return {};
  std::string bytes;
  if (!segments_.empty()) {
    EncodeWrite(pending_records_, segments_.back().sequence, synced_size_,
                bytes);
  }
  const bool needs_segment =
      segments_.empty() || synced_size_ + bytes.size() > options_.segment_bytes;
  // Otherwise a loss of power could leave a mixture of the failed write and
  // this one.
  BOOST_LEAF_CHECK(CutFailedWrite());
  if (needs_segment) {
    BOOST_LEAF_CHECK(StartSegment());
  } else {
    const std::string name = SegmentName(segments_.back().sequence);
    auto write = [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_CHECK(files_->Write(name, synced_size_, bytes));
      return files_->SyncFile(name);
    };
    auto written = write();
    if (!written) {
      has_failed_write_ = true;
      // Discards the partial write, which also frees its disk space.
      IgnoreFailure([&] { return files_->Truncate(name, synced_size_); });
      return written;
    }
    synced_size_ += bytes.size();
    has_failed_write_ = false;
  }
  Segment& segment = segments_.back();
  segment.max_index = std::max(segment.max_index, pending_max_index_);
  pending_records_.clear();
  pending_max_index_ = 0;
  durable_last_index_ = last_index_;
  durable_hard_state_ = hard_state_;
  return {};
}

boost::leaf::result<void> FileLog::CutFailedWrite() {
  if (!has_failed_write_) return {};
  const std::string name = SegmentName(segments_.back().sequence);
  BOOST_LEAF_CHECK(files_->Truncate(name, synced_size_));
  BOOST_LEAF_CHECK(files_->SyncFile(name));
  has_failed_write_ = false;
  return {};
}

boost::leaf::result<void> FileLog::StartSegment() {
  const std::uint64_t sequence =
      segments_.empty() ? 1 : segments_.back().sequence + 1;
  proto::FileLogSegmentStart start;
  start.set_sequence(sequence);
  start.set_previous_index(durable_last_index_);
  *start.mutable_hard_state() = ToProto(durable_hard_state_);
  std::string bytes;
  EncodeRecord({RecordKind::kSegmentStart, start.SerializeAsString()}, sequence,
               0, bytes);
  EncodeWrite(pending_records_, sequence, 0, bytes);
  const std::string name = SegmentName(sequence);
  auto write = [&]() -> boost::leaf::result<void> {
    BOOST_LEAF_CHECK(files_->Remove(name));
    BOOST_LEAF_CHECK(files_->Write(name, 0, bytes));
    BOOST_LEAF_CHECK(files_->SyncFile(name));
    return files_->SyncFolder();
  };
  auto written = write();
  if (!written) {
    IgnoreFailure([&] { return files_->Remove(name); });
    return written;
  }
  segments_.push_back({sequence, durable_last_index_});
  synced_size_ = bytes.size();
  return {};
}

void FileLog::RemoveCompacted() {
  if (pending_snapshot_) return;
  while (segments_.size() > 1 && segments_.front().max_index <= compact_to_) {
    // Each removal is synced before the next, so that a crash leaves no gap
    // between segments. A failed removal is retried by the next Sync().
    bool removed = false;
    IgnoreFailure([&]() -> boost::leaf::result<void> {
      BOOST_LEAF_CHECK(files_->Remove(SegmentName(segments_.front().sequence)));
      BOOST_LEAF_CHECK(files_->SyncFolder());
      removed = true;
      return {};
    });
    if (!removed) return;
    segments_.pop_front();
  }
}

}  // namespace cassiausher
