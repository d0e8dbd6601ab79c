#include "main/daemon/replica_host.h"

#include <utility>

#include "core/log.h"
#include "drivers/clock.h"

namespace cassiausher {
namespace {

// Interval of the quorum reads by which the leader confirms its leadership.
constexpr Duration kQuorumReadPeriod = Milliseconds(600);
constexpr Duration kClaimCheckPeriod = Seconds(2);
// Four heartbeats fit into the shortest election timeout; at 100 ms the leader
// alone sent 1.6 KB/s of heartbeats.
constexpr Duration kHeartbeat = Milliseconds(250);
// Quorum reads and Follow messages are sent every 600 ms, so a lease survives
// the loss of one message. The lease is shorter than the default change timeout
// of 2 s, so that an instance that dies during a change doesn't abort it.
constexpr Duration kConfigurationLease = Milliseconds(1900);
constexpr Duration kLedgerExpiryPeriod = Seconds(60);
// A snapshot after this many entries bounds the log on disk and the restart
// time.
constexpr std::uint64_t kEntriesPerSnapshot = 4000;

}  // namespace

ReplicaHost::ReplicaHost(const Settings& settings, Metrics& metrics,
                         GMainContext* context, ReplicaDelegate& delegate)
    : settings_(settings),
      delegate_(delegate),
      applied_(metrics.counter("log_entries_applied_total")),
      malformed_(metrics.counter("log_entries_malformed_total")),
      host_(context, metrics, *this, MonotonicNow),
      coordinator_(&state_, {.lease = kConfigurationLease}) {}

ReplicaHost::~ReplicaHost() = default;

std::string ReplicaHost::Start(std::unique_ptr<LogStorage> storage) {
  RaftOptions options;
  options.self = settings_.instance;
  options.new_storage_id = RandomNonZero();
  options.seed = RandomNonZero();
  options.heartbeat = kHeartbeat;
  for (const PeerSettings& peer : settings_.peers) {
    if (peer.voter) options.initial_voters.insert(peer.instance);
  }
  const auto error = host_.Start(std::move(options), std::move(storage));
  return error.has_value() ? ToString(*error) : std::string();
}

void ReplicaHost::OnRaftMessage(const proto::RaftMessage& message) {
  host_.Step(message);
}

void ReplicaHost::SendRaft(const proto::RaftMessage& message) {
  delegate_.SendRaft(message);
}

void ReplicaHost::Tick(Time now) {
  if (coordinator_.leading()) {
    if (now - last_read_ >= kQuorumReadPeriod) {
      last_read_ = now;
      reads_[next_read_] = now;
      host_.raft().Read(next_read_++, now);
    }
    if (now - last_expiry_ >= kLedgerExpiryPeriod) {
      Propose(LedgerEntry(LedgerExpiry{now - last_expiry_}), now);
      last_expiry_ = now;
    }
    ProposeClaimReleases(now);
    coordinator_.Tick(now);
  }
  host_.Tick();
}

void ReplicaHost::OnDispatched() {
  DispatchCoordinator(MonotonicNow());
  CompactIfDue();
}

void ReplicaHost::OnRead(const ReadResult& read) {
  const auto found = reads_.find(read.id);
  if (found == reads_.end()) return;
  if (read.served) coordinator_.OnQuorumContact(found->second);
  reads_.erase(found);
}

void ReplicaHost::OnInstall(const Snapshot& snapshot) {
  if (snapshot.data.empty()) return;
  const Findings findings = state_.Restore(snapshot.data);
  for (const Finding& finding : findings.items()) {
    malformed_.Add();
    Log(LogLevel::kError, "snapshot_malformed",
        {{"place", finding.place}, {"what", finding.message}});
  }
  delegate_.OnStateApplied(state_);
}

void ReplicaHost::OnRoleChanged() {
  const Raft& raft = host_.raft();
  Log(LogLevel::kInfo, "consensus_role",
      {{"role", raft.role() == RaftRole::kLeader ? "leader" : "follower"},
       {"term", raft.term()},
       {"leader", raft.leader().instance.value()}});
  if (raft.role() == RaftRole::kLeader) return;
  if (coordinator_.leading()) coordinator_.StepDown();
  reads_.clear();
  // These entries may still be committed. The origins retry their commands, and
  // the state machine recognises duplicates.
  for (const auto& [index, command] : std::exchange(commands_, {})) {
    delegate_.OnLedgerCommand(command.command, false, {});
  }
}

LedgerAnswer ReplicaHost::Apply(const LogEntry& entry, Time now) {
  if (entry.kind != EntryKind::kData) return {};
  const auto result = state_.ApplyBytes(entry.index, entry.data);
  if (const auto* findings = std::get_if<Findings>(&result)) {
    malformed_.Add();
    Log(LogLevel::kError, "log_entry_malformed",
        {{"index", entry.index}, {"what", findings->items().front().message}});
    return {};
  }
  const Applied& applied = std::get<Applied>(result);
  if (coordinator_.leading()) coordinator_.OnApplied(applied, now);
  if (applied.kind != AppliedKind::kLedger) delegate_.OnStateApplied(state_);
  return applied.ledger;
}

void ReplicaHost::OnCommitted(const LogEntry& entry) {
  const Time now = MonotonicNow();
  applied_.Add();
  ++entries_since_compaction_;
  const LedgerAnswer answer = Apply(entry, now);
  const auto pending = commands_.find(entry.index);
  if (pending != commands_.end()) {
    const PendingCommand command = pending->second;
    commands_.erase(pending);
    delegate_.OnLedgerCommand(command.command, command.term == entry.term,
                              answer);
  }
  const bool own_term =
      raft().role() == RaftRole::kLeader && entry.term == raft().term();
  if (!own_term || coordinator_.leading()) return;
  last_expiry_ = now;
  last_claim_check_ = now;
  coordinator_.BecomeLeader(now);
  coordinator_.SetMembers(members_, now);
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
      const auto& lost = std::get<AbandonSubmission>(output);
      delegate_.OnSubmissionAbandoned(lost.submission, lost.reason);
    }
  }
}

void ReplicaHost::Propose(const StateEntry& entry, Time now) {
  // Whoever proposed the entry retries a refused proposal.
  host_.raft().Propose(EncodeStateEntry(entry), now);
}

void ReplicaHost::SetMembers(LiveMembers members,
                             std::map<InstanceId, Incarnation> started,
                             Time now) {
  members_ = std::move(members);
  start_incarnations_ = std::move(started);
  if (!coordinator_.leading()) return;
  coordinator_.SetMembers(members_, now);
  host_.Drain();
}

void ReplicaHost::Submit(std::uint64_t submission, const Change& change,
                         Time now) {
  coordinator_.Submit(submission, change, now);
  host_.Drain();
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
  host_.Drain();
}

void ReplicaHost::ProposeLedger(std::uint64_t command, const LedgerEntry& entry,
                                Time now) {
  const ProposeResult result =
      host_.raft().Propose(EncodeStateEntry(StateEntry(entry)), now);
  if (!result.accepted()) {
    delegate_.OnLedgerCommand(command, false, {});
    return;
  }
  commands_[result.index] = {command, result.term};
  host_.Drain();
}

void ReplicaHost::OnInstanceLost(const InstanceId& instance,
                                 Incarnation incarnation, Time now) {
  if (!coordinator_.leading()) return;
  Propose(LedgerEntry(LedgerInstanceLost{instance, incarnation}), now);
  host_.Drain();
}

void ReplicaHost::TransferLeadership(Time now) {
  host_.raft().TransferLeadership(std::nullopt, now);
  host_.Drain();
}

void ReplicaHost::ProposeClaimReleases(Time now) {
  if (now - last_claim_check_ < kClaimCheckPeriod) return;
  last_claim_check_ = now;
  // Right after startup the members aren't known yet.
  if (start_incarnations_.size() <= 1 && settings_.peers.size() > 1) return;
  for (const auto& [instance, incarnation] : state_.ledger().ClaimHolders()) {
    const auto found = start_incarnations_.find(instance);
    if (found == start_incarnations_.end()) {
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
  host_.raft().Compact(raft().applied_index(), state_.Snapshot());
}

}  // namespace cassiausher
