// Runs the consensus core on a task: writes its batches through the storage
// task, sends its messages and hands out what is committed.
#ifndef MAIN_RAFT_HOST_H_
#define MAIN_RAFT_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/task.h"
#include "main/storage_task.h"
#include "proto/gen/raft.pb.h"
#include "servers/consensus/log_storage.h"
#include "servers/consensus/raft.h"

namespace cassiausher {

/// Called on the host's task.
class RaftHostDelegate {
 public:
  virtual ~RaftHostDelegate() = default;
  virtual void SendRaft(const proto::RaftMessage& message) = 0;
  /// Replaces the whole state.
  virtual void OnInstall(const Snapshot& snapshot) = 0;
  virtual void OnCommitted(const LogEntry& entry) = 0;
  virtual void OnRead(const ReadResult& read) = 0;
  virtual void OnRoleChanged() = 0;
  /// All of the above that was due has been called. Calls on raft() from here
  /// are drained as well.
  virtual void OnDispatched() {}
};

/// Random number for a new storage; not 0.
std::uint64_t NewStorageNumber();

class RaftHost {
 public:
  RaftHost(GMainContext* context, Metrics& metrics, RaftHostDelegate& delegate,
           std::function<Time()> clock);
  ~RaftHost();

  /// Opens the storage. Returns the error that keeps this instance from
  /// voting, empty on success.
  std::string Start(RaftOptions options, std::unique_ptr<LogStorage> storage);

  void Step(const proto::RaftMessage& message);
  void Tick();
  /// Hands out what calls on raft() have led to.
  void Drain();

  Raft& raft() { return *raft_; }
  const Raft& raft() const { return *raft_; }

 private:
  /// Word from the storage task; batch 0 tells that the disk refused.
  struct Persisted {
    std::uint64_t batch = 0;
  };

  void OnPersisted(const Persisted& persisted);
  void Dispatch(RaftOutput output);

  Metrics& metrics_;
  RaftHostDelegate& delegate_;
  std::function<Time()> clock_;
  Mailbox<Persisted> mailbox_;
  std::unique_ptr<Raft> raft_;
  std::unique_ptr<StorageTask> storage_;
  /// Messages that wait for their batch to be durable.
  std::map<std::uint64_t, std::vector<proto::RaftMessage>> after_sync_;
  /// Drain() is running; what it calls leads to no second loop.
  bool draining_ = false;
};

}  // namespace cassiausher

#endif  // MAIN_RAFT_HOST_H_
