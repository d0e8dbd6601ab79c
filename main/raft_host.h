// Runs Raft on a task: writes its batches through the storage task, sends its
// messages and delivers committed entries.
#ifndef MAIN_RAFT_HOST_H_
#define MAIN_RAFT_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  /// Called once, at the start, before any other call: what the disk holds,
  /// committed or not.
  virtual void OnStored(const StoredState& /*stored*/) {}
  /// Replaces the whole state by the snapshot.
  virtual void OnInstall(const Snapshot& snapshot) = 0;
  virtual void OnCommitted(const LogEntry& entry) = 0;
  virtual void OnRead(const ReadResult& read) = 0;
  virtual void OnRoleChanged() = 0;
  /// Called when no other callback is due. Output of calls on raft() made here
  /// is dispatched as well.
  virtual void OnDispatched() {}
};

/// Random number other than 0, for storage identifiers and seeds.
std::uint64_t RandomNonZero();

class RaftHost {
 public:
  RaftHost(GMainContext* context, Metrics& metrics, RaftHostDelegate& delegate,
           std::function<Time()> clock);
  ~RaftHost();

  /// Opens the storage. Returns the error that keeps this instance from
  /// voting, null on success.
  std::optional<StorageError> Start(RaftOptions options,
                                    std::unique_ptr<LogStorage> storage);

  void Step(const proto::RaftMessage& message);
  void Tick();
  /// Dispatches the output of preceding calls on raft().
  void Drain();

  Raft& raft() { return *raft_; }
  const Raft& raft() const { return *raft_; }

 private:
  /// Result from the storage task; batch 0 reports a storage error.
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
  /// Drain() is running; nested calls return at once.
  bool draining_ = false;
};

}  // namespace cassiausher

#endif  // MAIN_RAFT_HOST_H_
