#include "main/replica_host.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "core/log.h"
#include "main/raft_host.h"

namespace cassiausher {
namespace {

// A read through the quorum this often shows that the leader still leads.
constexpr Duration kQuorumReadPeriod = Milliseconds(600);
constexpr Duration kLostHoldersPeriod = Seconds(2);
// Four heartbeats fit into the shortest election timeout; at 100 ms the leader
// alone sent 1.6 KB/s of heartbeats.
constexpr Duration kHeartbeat = Milliseconds(250);
// With quorum contact and Follow every 600 ms, one lost message leaves a lease
// valid. Below the change timeout of 2 s, so that an instance that dies during
// a change doesn't abort it.
constexpr Duration kConfigurationLease = Milliseconds(1900);
constexpr Duration kLedgerExpiryPeriod = Seconds(60);
// A snapshot after this many entries bounds the log on disk and the time of a
// restart.
constexpr std::uint64_t kEntriesPerSnapshot = 4000;

}  // namespace

ReplicaHost::ReplicaHost(const Settings& settings, Metrics& metrics,
                         ReplicaDelegate& delegate)
    : settings_(settings),
      metrics_(metrics),
      delegate_(delegate),
      applied_(metrics.counter("log_entries_applied_total")),
      malformed_(metrics.counter("log_entries_malformed_total")),
      coordinator_(&state_, {.lease = kConfigurationLease}) {}

ReplicaHost::~ReplicaHost() = default;

std::string ReplicaHost::Start(std::unique_ptr<LogStorage> storage, Time now) {
  namespace leaf = boost::leaf;
  StoredState stored;
  const std::string error = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_ASSIGN(stored, storage->Load());
        return std::string();
      },
      [](const StorageError& fault) { return ToString(fault); },
      [] { return std::string("unknown storage error"); });
  if (!error.empty()) return error;
  for (const Finding& finding : stored.findings.items()) {
    Log(LogLevel::kWarning, "log_repaired",
        {{"place", finding.place}, {"what", finding.message}});
  }
  RaftOptions options;
  options.self = settings_.instance;
  options.new_storage = NewStorageNumber();
  options.seed = NewStorageNumber();
  options.heartbeat = kHeartbeat;
  for (const PeerSettings& peer : settings_.peers) {
    if (peer.voter) options.founders.insert(peer.instance);
  }
  raft_ = std::make_unique<Raft>(options, stored, now);
  storage_ = std::make_unique<StorageTask>(
      std::move(storage), metrics_,
      StorageEvents{
          .persisted =
              [this](std::uint64_t batch) { delegate_.PostPersisted(batch); },
          .failed = [this] { delegate_.PostPersistFailed(); }});
  storage_->Start();
  Drain(now);
  return {};
}

void ReplicaHost::OnRaftMessage(const proto::RaftMessage& message, Time now) {
  raft_->Step(message, now);
  Drain(now);
}

void ReplicaHost::OnPersisted(std::uint64_t batch, Time now) {
  for (auto it = after_sync_.begin();
       it != after_sync_.end() && it->first <= batch;) {
    for (const proto::RaftMessage& message : it->second) {
      delegate_.SendRaft(message);
    }
    it = after_sync_.erase(it);
  }
  raft_->OnPersisted(batch, now);
  Drain(now);
}

void ReplicaHost::OnPersistFailed(Time now) {
  raft_->OnPersistFailed(now);
  Drain(now);
}

void ReplicaHost::Tick(Time now) {
  raft_->Tick(now);
  if (coordinator_.leading()) {
    if (now - last_read_ >= kQuorumReadPeriod) {
      last_read_ = now;
      reads_[next_read_] = now;
      raft_->Read(next_read_++, now);
    }
    if (now - last_expiry_ >= kLedgerExpiryPeriod) {
      Propose(LedgerEntry(LedgerExpiry{now - last_expiry_}), now);
      last_expiry_ = now;
    }
    ProposeLostHolders(now);
    coordinator_.Tick(now);
  }
  Drain(now);
}

void ReplicaHost::Drain(Time now) {
  // Applying an entry can lead to a proposal, which leads to more output.
  if (draining_) return;
  draining_ = true;
  for (;;) {
    RaftOutput output = raft_->TakeOutput();
    const bool idle = output.empty();
    if (!idle) Dispatch(std::move(output), now);
    DispatchCoordinator(now);
    if (idle) break;
  }
  CompactIfDue();
  draining_ = false;
}

void ReplicaHost::Dispatch(RaftOutput output, Time now) {
  for (const proto::RaftMessage& message : output.messages) {
    delegate_.SendRaft(message);
  }
  const std::vector<LogEntry> committed = std::move(output.committed);
  const std::optional<Snapshot> install = std::move(output.install);
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
  if (install.has_value()) Install(*install);
  for (const LogEntry& entry : committed) Apply(entry, now);
  for (const ReadResult& read : reads) {
    const auto found = reads_.find(read.id);
    if (found == reads_.end()) continue;
    if (read.served) coordinator_.OnQuorumContact(found->second);
    reads_.erase(found);
  }
  if (role_changed) OnRoleChanged(now);
}

void ReplicaHost::Install(const Snapshot& snapshot) {
  if (snapshot.data.empty()) return;
  const Findings findings = state_.Restore(snapshot.data);
  for (const Finding& finding : findings.items()) {
    malformed_.Add();
    Log(LogLevel::kError, "snapshot_malformed",
        {{"place", finding.place}, {"what", finding.message}});
  }
  delegate_.OnStateApplied(state_);
}

void ReplicaHost::OnRoleChanged(Time now) {
  Log(LogLevel::kInfo, "consensus_role",
      {{"role", raft_->role() == RaftRole::kLeader ? "leader" : "follower"},
       {"term", raft_->term()},
       {"leader", raft_->leader().instance.value()}});
  if (raft_->role() == RaftRole::kLeader) return;
  if (coordinator_.leading()) coordinator_.LoseLeadership();
  reads_.clear();
  // Their entries may still be committed; the askers repeat their commands,
  // which the state recognises.
  for (const auto& [index, command] : std::exchange(commands_, {})) {
    delegate_.OnLedgerCommand(command.command, false, {});
  }
  DispatchCoordinator(now);
}

void ReplicaHost::Apply(const LogEntry& entry, Time now) {
  applied_.Add();
  ++entries_since_compaction_;
  const bool own_term =
      raft_->role() == RaftRole::kLeader && entry.term == raft_->term();
  LedgerAnswer answer;
  if (entry.kind == EntryKind::kData) {
    const auto result = state_.ApplyBytes(entry.index, entry.data);
    if (const auto* findings = std::get_if<Findings>(&result)) {
      malformed_.Add();
      Log(LogLevel::kError, "log_entry_malformed",
          {{"index", entry.index},
           {"what", findings->items().front().message}});
    } else {
      const Applied& applied = std::get<Applied>(result);
      answer = applied.ledger;
      if (coordinator_.leading()) coordinator_.OnApplied(applied, now);
      if (applied.kind != AppliedKind::kLedger) {
        delegate_.OnStateApplied(state_);
      }
    }
  }
  const auto pending = commands_.find(entry.index);
  if (pending != commands_.end()) {
    const PendingCommand command = pending->second;
    commands_.erase(pending);
    delegate_.OnLedgerCommand(command.command, command.term == entry.term,
                              answer);
  }
  if (own_term && !coordinator_.leading()) {
    last_expiry_ = now;
    last_holders_ = now;
    coordinator_.BecomeLeader(now);
    coordinator_.SetMembers(members_, now);
  }
}

void ReplicaHost::DispatchCoordinator(Time now) {
  for (CoordinatorOutput& output : coordinator_.TakeOutputs()) {
    if (const auto* send = std::get_if<SendToInstance>(&output)) {
      delegate_.SendConfiguration(send->to, send->message);
    } else if (const auto* propose =
                   std::get_if<cassiausher::Propose>(&output)) {
      Propose(propose->entry, now);
    } else if (const auto* answer = std::get_if<AnswerSubmission>(&output)) {
      delegate_.OnSubmissionAnswered(answer->submission, answer->answer);
    } else {
      const auto& lost = std::get<LoseSubmission>(output);
      delegate_.OnSubmissionLost(lost.submission, lost.reason);
    }
  }
}

void ReplicaHost::Propose(const StateEntry& entry, Time now) {
  // A refused proposal is repeated by its owner.
  raft_->Propose(EncodeStateEntry(entry), now);
}

void ReplicaHost::SetMembers(LiveMembers members,
                             std::map<InstanceId, Incarnation> started,
                             Time now) {
  members_ = std::move(members);
  started_ = std::move(started);
  if (!coordinator_.leading()) return;
  coordinator_.SetMembers(members_, now);
  Drain(now);
}

void ReplicaHost::Submit(std::uint64_t submission, const Change& change,
                         Time now) {
  coordinator_.Submit(submission, change, now);
  Drain(now);
}

void ReplicaHost::OnConfigurationMessage(const ConfigurationMessage& message,
                                         Time now) {
  if (const auto* follow = std::get_if<Follow>(&message)) {
    coordinator_.OnFollow(*follow, now);
  } else if (const auto* staged = std::get_if<Staged>(&message)) {
    coordinator_.OnStaged(*staged, now);
  } else if (const auto* activated = std::get_if<Activated>(&message)) {
    coordinator_.OnActivated(*activated, now);
  }
  Drain(now);
}

void ReplicaHost::ProposeLedger(std::uint64_t command, const LedgerEntry& entry,
                                Time now) {
  const ProposeResult result =
      raft_->Propose(EncodeStateEntry(StateEntry(entry)), now);
  if (!result.accepted()) {
    delegate_.OnLedgerCommand(command, false, {});
    return;
  }
  commands_[result.index] = {command, result.term};
  Drain(now);
}

void ReplicaHost::OnInstanceLost(const InstanceId& instance,
                                 Incarnation incarnation, Time now) {
  if (!coordinator_.leading()) return;
  Propose(LedgerEntry(LedgerInstanceLost{instance, incarnation}), now);
  Drain(now);
}

void ReplicaHost::TransferLeadership(Time now) {
  raft_->TransferLeadership(std::nullopt, now);
  Drain(now);
}

void ReplicaHost::ProposeLostHolders(Time now) {
  if (now - last_holders_ < kLostHoldersPeriod) return;
  last_holders_ = now;
  // Right after a start the members are not known yet.
  if (started_.size() <= 1 && settings_.peers.size() > 1) return;
  for (const auto& [instance, incarnation] : state_.ledger().ClaimHolders()) {
    const auto found = started_.find(instance);
    if (found == started_.end()) {
      Propose(LedgerEntry(LedgerInstanceLost{instance, incarnation}), now);
    } else if (incarnation < found->second) {
      const Incarnation earlier(found->second.value() - 1);
      Propose(LedgerEntry(LedgerInstanceLost{instance, earlier}), now);
    }
  }
}

void ReplicaHost::CompactIfDue() {
  if (entries_since_compaction_ < kEntriesPerSnapshot) return;
  entries_since_compaction_ = 0;
  raft_->Compact(raft_->applied_index(), state_.Snapshot());
}

}  // namespace cassiausher
