// The storage task: writes and syncs the replicated log, so that a slow disk
// holds up nothing else.
#ifndef MAIN_STORAGE_TASK_H_
#define MAIN_STORAGE_TASK_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "drivers/task.h"
#include "servers/consensus/log_storage.h"
#include "servers/consensus/raft.h"

namespace cassiausher {

/// Called on the storage task's thread.
struct StorageEvents {
  /// Everything up to this batch is durable.
  std::function<void(std::uint64_t batch)> persisted;
  /// The disk refused; the batch is tried again.
  std::function<void()> failed;
};

class StorageTask : public Task {
 public:
  StorageTask(std::unique_ptr<LogStorage> storage, Metrics& metrics,
              StorageEvents events);
  ~StorageTask() override;

  /// Batches are persisted in the order of the calls.
  void Persist(RaftOutput output);

 private:
  void Handle(RaftOutput& output);
  void SyncNow();
  void ReportFailure(const std::string& what);

  std::unique_ptr<LogStorage> storage_;
  StorageEvents events_;
  Counter& syncs_;
  Counter& failures_;
  Distribution& sync_time_;
  /// Written batches that are not yet durable.
  std::uint64_t unsynced_batch_ = 0;
  bool failing_ = false;
  /// Written batches wait for a sync, due now or after a failure.
  bool sync_pending_ = false;
  /// Memory and disk disagree; nothing is reported as durable any more.
  bool broken_ = false;
  GSourcePtr retry_;
  Mailbox<RaftOutput> mailbox_;
};

}  // namespace cassiausher

#endif  // MAIN_STORAGE_TASK_H_
