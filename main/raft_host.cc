#include "main/raft_host.h"

#include <boost/leaf/handle_errors.hpp>
#include <random>
#include <system_error>
#include <utility>

#include "core/log.h"

namespace cassiausher {

std::uint64_t RandomNonZero() {
  std::random_device entropy;
  const std::uint64_t high = entropy();
  return (high << 32 | entropy()) | 1;
}

RaftHost::RaftHost(GMainContext* context, Metrics& metrics,
                   RaftHostDelegate& delegate, std::function<Time()> clock)
    : metrics_(metrics),
      delegate_(delegate),
      clock_(std::move(clock)),
      mailbox_(context,
               [this](Persisted& persisted) { OnPersisted(persisted); }) {}

RaftHost::~RaftHost() = default;

std::optional<StorageError> RaftHost::Start(
    RaftOptions options, std::unique_ptr<LogStorage> storage) {
  namespace leaf = boost::leaf;
  StoredState stored;
  using MaybeError = std::optional<StorageError>;
  const MaybeError error = leaf::try_handle_all(
      [&]() -> leaf::result<MaybeError> {
        BOOST_LEAF_ASSIGN(stored, storage->Load());
        return MaybeError();
      },
      [](const StorageError& fault) { return MaybeError(fault); },
      [] { return MaybeError({.message = "unknown storage error"}); });
  if (error.has_value()) return error;
  for (const Finding& finding : stored.findings.items()) {
    Log(LogLevel::kWarning, "log_repaired",
        {{"place", finding.place}, {"what", finding.message}});
  }
  raft_ = std::make_unique<Raft>(std::move(options), stored, clock_());
  delegate_.OnStored(stored);
  storage_ = std::make_unique<StorageTask>(
      std::move(storage), metrics_,
      StorageEvents{
          .persisted = [this](std::uint64_t batch) { mailbox_.Post({batch}); },
          .failed = [this] { mailbox_.Post({0}); }});
  try {
    storage_->Start();
  } catch (const std::system_error& fault) {
    // The system has no thread for it now.
    return StorageError{.message = fault.what()};
  }
  Drain();
  return std::nullopt;
}

void RaftHost::Step(const proto::RaftMessage& message) {
  raft_->Step(message, clock_());
  Drain();
}

void RaftHost::Tick() {
  raft_->Tick(clock_());
  Drain();
}

void RaftHost::OnPersisted(const Persisted& persisted) {
  if (persisted.batch == 0) {
    raft_->OnPersistFailed(clock_());
    Drain();
    return;
  }
  for (auto it = after_sync_.begin();
       it != after_sync_.end() && it->first <= persisted.batch;) {
    for (const proto::RaftMessage& message : it->second) {
      delegate_.SendRaft(message);
    }
    it = after_sync_.erase(it);
  }
  raft_->OnPersisted(persisted.batch, clock_());
  Drain();
}

void RaftHost::Drain() {
  if (draining_) return;
  draining_ = true;
  for (;;) {
    // The delegate may propose or read, which produces more output.
    delegate_.OnDispatched();
    RaftOutput output = raft_->TakeOutput();
    if (output.empty()) break;
    Dispatch(std::move(output));
  }
  draining_ = false;
}

void RaftHost::Dispatch(RaftOutput output) {
  for (const proto::RaftMessage& message : output.messages) {
    delegate_.SendRaft(message);
  }
  const std::vector<LogEntry> committed = std::move(output.committed);
  const std::optional<Snapshot> install = std::move(output.snapshot_to_install);
  const std::vector<ReadResult> reads = std::move(output.reads);
  const bool role_changed = output.role_changed;
  if (output.batch != 0) {
    after_sync_[output.batch] = std::move(output.messages_after_sync);
    storage_->Persist(std::move(output));
  } else {
    for (const proto::RaftMessage& message : output.messages_after_sync) {
      delegate_.SendRaft(message);
    }
  }
  if (install.has_value()) delegate_.OnInstall(*install);
  for (const LogEntry& entry : committed) delegate_.OnCommitted(entry);
  for (const ReadResult& read : reads) delegate_.OnRead(read);
  if (role_changed) delegate_.OnRoleChanged();
}

}  // namespace cassiausher
