// The storage task: writes and syncs the replicated log on a thread of its own,
// so that a slow disk doesn't block other tasks.
#ifndef MAIN_STORAGE_TASK_H_
#define MAIN_STORAGE_TASK_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/metrics.h"
#include "drivers/task.h"
#include "servers/consensus/log_storage.h"
#include "servers/consensus/raft.h"

namespace cassiausher {

/// Called on the storage task's thread.
struct StorageEvents {
  /// All batches up to and including this one are durable.
  std::function<void(std::uint64_t batch)> persisted;
  /// A write or sync failed. Failed syncs are retried.
  std::function<void()> failed;
};

class StorageTask : public Task {
 public:
  StorageTask(std::unique_ptr<LogStorage> storage, Metrics& metrics,
              StorageEvents events);
  ~StorageTask() override;

  /// Batches are persisted in call order. Thread-safe.
  void Persist(RaftOutput output);

 private:
  void Handle(RaftOutput& output);
  void SyncNow();
  /// Records the time, and logs it if it is long.
  static void OnDiskAnswers(std::string_view operation, Duration took,
                            Distribution* times);
  void ReportFailure(const std::string& what);

  std::unique_ptr<LogStorage> storage_;
  StorageEvents events_;
  Counter& syncs_;
  Counter& failures_;
  Distribution& sync_time_;
  Distribution& write_time_;
  /// Last written batch, durable after the next sync.
  std::uint64_t unsynced_batch_ = 0;
  bool failing_ = false;
  /// Written batches wait for a sync, either queued or retried after a failure.
  bool sync_pending_ = false;
  /// Memory and disk diverged; no later batch is reported as durable.
  bool broken_ = false;
  GSourcePtr retry_;
  Mailbox<RaftOutput> mailbox_;
};

}  // namespace cassiausher

#endif  // MAIN_STORAGE_TASK_H_
