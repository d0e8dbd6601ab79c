// Interface of the durable storage that Raft writes its log to. Implementations
// are modules; modules/file_log stores the log in files.
#ifndef SERVERS_CONSENSUS_LOG_STORAGE_H_
#define SERVERS_CONSENSUS_LOG_STORAGE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/registry.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

/// Persistent state that LogStorage::Load() read.
struct StoredState {
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  /// Consecutive entries; the first follows the snapshot, or has index 1 if
  /// there is none.
  std::vector<LogEntry> entries;
  /// Repairs that lost no synced data, such as truncating a torn write at the
  /// end of the log.
  Findings findings;
};

/// Error object of every failed storage operation.
struct StorageError {
  enum class Code {
    kInputOutput,  ///< A system call failed; the operation can be retried.
    kNoSpace,      ///< The disk is full; can be retried once space is free.
    kCorrupt,      ///< Stored data is damaged; the replica must be replaced.
    /// Intact data that this version can't read, as a later one wrote it.
    kUnknownFormat,
    kMisuse,  ///< The arguments do not match the log.
  };
  Code code = Code::kInputOutput;
  std::string file;
  std::uint64_t offset = 0;
  std::string message;
};

/// Not thread safe. Changes apply in the order of the calls and are durable
/// once a later Sync() has succeeded. A failed Sync() affects nothing that was
/// durable before and keeps the pending changes, so it can be retried. The
/// other calls fail only if their arguments don't match the log.
class LogStorage {
 public:
  virtual ~LogStorage() = default;

  /// Opens the storage and reads all of it. Must be called once, before any
  /// other function.
  /// Fails with kCorrupt when synced data is damaged.
  virtual boost::leaf::result<StoredState> Load() = 0;

  /// Appends consecutive entries; the first must follow the last stored one.
  virtual boost::leaf::result<void> Append(
      const std::vector<LogEntry>& entries) = 0;
  /// Removes the entries with index `first_removed` and above.
  virtual boost::leaf::result<void> TruncateSuffix(LogIndex first_removed) = 0;
  /// Removes all entries. The next appended entry follows (`index`, `term`),
  /// which the saved snapshot must cover.
  virtual boost::leaf::result<void> Reset(LogIndex index, Term term) = 0;
  virtual boost::leaf::result<void> SaveHardState(const HardState& state) = 0;

  /// Replaces the previous snapshot. Sync() makes the snapshot durable before
  /// the log changes, so that a crash between the two leaves no gap in the log.
  virtual boost::leaf::result<void> SaveSnapshot(Snapshot snapshot) = 0;
  /// Returns the latest durable snapshot, or nullopt if there is none.
  virtual boost::leaf::result<std::optional<Snapshot>> LoadSnapshot() = 0;
  /// Allows the storage to remove entries up to and including `last_removed`,
  /// which the saved snapshot must cover.
  virtual boost::leaf::result<void> CompactPrefix(LogIndex last_removed) = 0;

  virtual boost::leaf::result<void> Sync() = 0;
};

/// Formats an error as `FILE at offset OFFSET: MESSAGE`.
std::string ToString(const StorageError& error);

/// Factories of log storages; the argument is the storage's own directory.
using LogStorageRegistry = Registry<LogStorage, const std::string&>;

/// Log storage implementations by name. Modules register at startup.
LogStorageRegistry& LogStorages();

}  // namespace cassiausher

#endif  // SERVERS_CONSENSUS_LOG_STORAGE_H_
