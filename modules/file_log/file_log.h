// Log storage on disk: segment files of checksummed records, and one snapshot
// file that is replaced atomically by rename.
#ifndef MODULES_FILE_LOG_FILE_LOG_H_
#define MODULES_FILE_LOG_FILE_LOG_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/file_log/file_system.h"
#include "modules/file_log/record.h"
#include "servers/consensus/log_storage.h"

namespace cassiausher {

struct FileLogOptions {
  /// Maximum size of a segment. A write that would exceed it starts a new
  /// segment, which is larger if that write alone exceeds the maximum.
  /// Compaction removes only whole segments, so disk use stays below the sum of
  /// the live entries, the snapshot (twice while it is replaced) and two
  /// segments.
  std::uint64_t segment_bytes = std::uint64_t{4} * 1024 * 1024;
};

/// Not thread safe; usually owned by the storage task. Changes are buffered in
/// memory until Sync(), which writes all pending records with one call. If that
/// fails, the segment is truncated to its synced size, or removed if it is new,
/// and the next Sync() writes the records again.
class FileLog : public LogStorage {
 public:
  explicit FileLog(std::unique_ptr<FileSystem> files,
                   FileLogOptions options = {});

  boost::leaf::result<StoredState> Load() override;
  boost::leaf::result<void> Append(
      const std::vector<LogEntry>& entries) override;
  boost::leaf::result<void> TruncateSuffix(LogIndex first_removed) override;
  boost::leaf::result<void> Reset(LogIndex index, Term term) override;
  boost::leaf::result<void> SaveHardState(const HardState& state) override;
  boost::leaf::result<void> SaveSnapshot(Snapshot snapshot) override;
  boost::leaf::result<std::optional<Snapshot>> LoadSnapshot() override;
  boost::leaf::result<void> CompactPrefix(LogIndex last_removed) override;
  boost::leaf::result<void> Sync() override;

 private:
  struct Segment {
    std::uint64_t sequence = 0;
    /// Highest index that was ever appended to this segment.
    LogIndex max_index = 0;
  };
  /// State rebuilt from the segments by Load().
  struct Replay {
    /// Index of the entry before the first one in `entries`.
    LogIndex base = 0;
    std::deque<LogEntry> entries;
    HardState hard_state;
    Findings findings;

    LogIndex last() const { return base + entries.size(); }
  };

  /// Syncs what Load() found. A process that was killed before its sync leaves
  /// changes that can be read but would be lost with the power.
  boost::leaf::result<void> SyncLoaded();
  /// Applies all records of a segment to `replay`.
  boost::leaf::result<void> ReplaySegment(const std::string& name, bool is_last,
                                          Replay& replay);
  boost::leaf::result<void> ReplayRecord(const std::string& name,
                                         std::uint64_t offset,
                                         const Record& record, Replay& replay);
  /// Checks the first record of a segment: its sequence number, and that the
  /// segment continues the previous one.
  boost::leaf::result<void> ReplayStart(const std::string& name,
                                        std::uint64_t sequence,
                                        const Record& record, Replay& replay);
  /// Truncates the last segment before an invalid record that was never synced.
  /// Fails with kCorrupt if the record may have been synced.
  boost::leaf::result<void> TruncateTornTail(const std::string& name,
                                             std::uint64_t sequence,
                                             const std::string& content,
                                             std::uint64_t offset, bool is_last,
                                             RecordCheck check, Replay& replay);
  /// Drops the entries that the snapshot covers, or resets the log if it does
  /// not continue the snapshot. Fails if entries between the two are missing.
  boost::leaf::result<StoredState> ReconcileWithSnapshot(
      Replay replay, std::optional<Snapshot> snapshot);

  boost::leaf::result<void> SyncSnapshot();
  /// Writes and syncs the pending records, in a new segment if they don't fit.
  boost::leaf::result<void> SyncRecords();
  /// Removes the rest of a failed write from the last segment durably, so that
  /// no part of it returns after a loss of power beside later writes.
  boost::leaf::result<void> CutFailedWrite();
  /// Creates the next segment with the pending records.
  boost::leaf::result<void> StartSegment();
  /// Removes the leading segments whose entries are all compacted.
  void RemoveCompacted();
  void AddRecord(RecordKind kind, std::string payload);
  boost::leaf::error_id Corrupt(const std::string& name, std::uint64_t offset,
                                const std::string& message) const;
  boost::leaf::error_id UnknownFormat(const std::string& name,
                                      std::uint64_t offset) const;
  boost::leaf::error_id Misuse(const std::string& message) const;

  std::unique_ptr<FileSystem> files_;
  FileLogOptions options_;

  /// Ordered by consecutive sequence numbers; records are appended to the last.
  std::deque<Segment> segments_;
  /// Synced bytes of the last segment. Bytes beyond are not durable.
  std::uint64_t synced_size_ = 0;
  /// A write to the last segment failed and none succeeded since.
  bool has_failed_write_ = false;
  /// Last index and hard state on disk, stored at the start of a new segment.
  LogIndex durable_last_index_ = 0;
  HardState durable_hard_state_;

  /// Changes since the last Sync(), in order.
  std::vector<Record> pending_records_;
  std::optional<Snapshot> pending_snapshot_;
  /// Last index, hard state and snapshot index, including pending changes.
  LogIndex last_index_ = 0;
  HardState hard_state_;
  LogIndex snapshot_index_ = 0;
  /// Entries up to and including this index may be removed.
  LogIndex compact_to_ = 0;
  /// Highest index that was appended since the last Sync().
  LogIndex pending_max_index_ = 0;
};

}  // namespace cassiausher

#endif  // MODULES_FILE_LOG_FILE_LOG_H_
