#include "main/node/configuration_log.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"

namespace cassiausher {
namespace {

// Bound the log on disk and in memory, whose entries are whole documents.
constexpr int kEntriesPerSnapshot = 32;
constexpr std::size_t kBytesPerSnapshot = std::size_t{8} << 20;
constexpr std::size_t kMaxEntryBytes = std::size_t{8} << 20;
// Interval between attempts to open the log, for example while the disk is
// full.
constexpr Duration kOpenRetryPeriod = Milliseconds(500);
constexpr Duration kUnavailableLinePeriod = Seconds(5);
// The leader sends the members every 600 ms.
constexpr Duration kMembersExpiry = Seconds(2);
constexpr Duration kHeartbeat = Milliseconds(200);
constexpr Duration kElectionTimeoutMin = Milliseconds(900);
constexpr Duration kElectionTimeoutMax = Milliseconds(1700);
constexpr Duration kDiskStall = Seconds(1);

std::string LogFolder(const NodeSettings& settings) {
  return settings.data_folder + "/log";
}

/// Where the log of a replaced replica waits for its removal. Removed in place,
/// a part of it could remain after a crash and be taken for a damaged log.
std::string ReplacedLogFolder(const NodeSettings& settings) {
  return settings.data_folder + "/log.replaced";
}

/// Keeps the last log that was damaged, for its examination.
std::string DamagedLogFolder(const NodeSettings& settings) {
  return settings.data_folder + "/log.damaged";
}

bool IsMissing(const std::string& folder) {
  std::error_code error;
  const auto type = std::filesystem::status(folder, error).type();
  return type == std::filesystem::file_type::not_found;
}

/// Whether a whole log was moved there. Of one that is being removed, after the
/// next was opened, a part may remain.
bool MayHoldMovedLog(const std::string& folder) {
  return !IsMissing(folder + "/lock");
}

}  // namespace

ConfigurationLog::ConfigurationLog(const NodeSettings& settings,
                                   Metrics& metrics, GMainContext* context,
                                   ConfigurationLogDelegate& delegate)
    : settings_(settings),
      metrics_(metrics),
      context_(context),
      delegate_(delegate),
      voter_changes_(settings) {}

ConfigurationLog::~ConfigurationLog() = default;

void ConfigurationLog::Start(Time now) {
  // A folder that can't be looked at may hold a log. One that was moved away
  // held the log of a group, also if the process ended before it opened the
  // next.
  may_bootstrap_ = settings_.first_start &&
                   !MayHoldMovedLog(DamagedLogFolder(settings_)) &&
                   !MayHoldMovedLog(ReplacedLogFolder(settings_));
  is_new_ = may_bootstrap_ && IsMissing(LogFolder(settings_));
  OpenReplica(now);
}

void ConfigurationLog::OpenReplica(Time now) {
  next_open_ = now + kOpenRetryPeriod;
  const std::optional<StorageError> error = StartReplica();
  const bool waited = std::exchange(open_due_, error.has_value());
  metrics_.gauge("log_unavailable").Set(open_due_ ? 1 : 0);
  if (error.has_value()) {
    OnOpenFailed(*error, now);
  } else if (waited) {
    Log(LogLevel::kInfo, "log_available", {{"folder", LogFolder(settings_)}});
  }
}

void ConfigurationLog::OnOpenFailed(const StorageError& error, Time now) {
  host_.reset();
  if (error.code == StorageError::Code::kCorrupt) {
    Log(LogLevel::kError, "log_set_aside",
        {{"error", ToString(error)}, {"kept_as", DamagedLogFolder(settings_)}});
    metrics_.counter("logs_set_aside_total").Add();
    MoveLog(DamagedLogFolder(settings_));
    return;
  }
  if (now < next_unavailable_line_) return;
  next_unavailable_line_ = now + kUnavailableLinePeriod;
  Log(LogLevel::kError, "log_unavailable", {{"error", ToString(error)}});
}

void ConfigurationLog::MoveLog(const std::string& to) {
  may_bootstrap_ = false;
  std::error_code error;
  std::filesystem::remove_all(to, error);
  std::filesystem::rename(LogFolder(settings_), to, error);
}

std::optional<StorageError> ConfigurationLog::StartReplica() {
  std::error_code error;
  std::filesystem::create_directories(LogFolder(settings_), error);
  RaftOptions options;
  options.self = InstanceId(settings_.ip);
  options.new_storage_id = RandomNonZero();
  options.seed = RandomNonZero();
  options.may_bootstrap = may_bootstrap_;
  options.heartbeat = kHeartbeat;
  options.election_timeout_min = kElectionTimeoutMin;
  options.election_timeout_max = kElectionTimeoutMax;
  options.max_entry_bytes = kMaxEntryBytes;
  options.entries_kept_after_compaction = kEntriesPerSnapshot;
  for (const SocketAddress& seed : settings_.seeds) {
    options.initial_voters.insert(InstanceId(seed.ip));
  }
  host_ = std::make_unique<RaftHost>(context_, metrics_, *this,
                                     [] { return BootTimeNow(); });
  auto fault = host_->Start(
      options, LogStorages().Create("file_log", LogFolder(settings_)));
  // Opening the new log has made the old one's new name durable.
  if (!fault.has_value()) {
    std::filesystem::remove_all(ReplacedLogFolder(settings_), error);
  }
  return fault;
}

void ConfigurationLog::OnRaft(const std::string& bytes) {
  if (host_ == nullptr) return;
  proto::RaftMessage message;
  if (!message.ParseFromString(bytes)) {
    Log(LogLevel::kWarning, "raft_message_malformed");
    return;
  }
  host_->Step(message);
}

void ConfigurationLog::Tick(Time now) {
  if (now >= next_open_) {
    if (reset_due_) {
      ResetReplica(now);
    } else if (open_due_) {
      OpenReplica(now);
    }
  }
  if (now - members_received_ >= kMembersExpiry) members_sender_ = {};
  has_forgotten_ |= leaving_.Expire(now);
  if (host_ == nullptr) return;
  host_->Tick();
  WatchDisk();
  if (leading()) AdvanceVoters(now);
}

// Says so while the disk stands still, as what took long is known only later.
void ConfigurationLog::WatchDisk() {
  const Duration wait = host_->raft().WaitForDisk();
  metrics_.gauge("log_disk_wait_milliseconds").Set(wait / Milliseconds(1));
  const bool stalled = wait >= kDiskStall;
  if (std::exchange(disk_stalled_, stalled) == stalled) return;
  if (stalled) {
    Log(LogLevel::kWarning, "log_disk_stalled",
        {{"wait_ms", ToMilliseconds(wait)}});
  } else {
    Log(LogLevel::kInfo, "log_disk_back");
  }
}

void ConfigurationLog::ResetReplica(Time now) {
  Log(LogLevel::kWarning, "replica_reset",
      {{"reason", "replaced by another replica"}});
  host_.reset();
  proposals_.clear();
  reads_.clear();
  reset_due_ = false;
  MoveLog(ReplacedLogFolder(settings_));
  OpenReplica(now);
}

void ConfigurationLog::Stop(Incarnation process, Time now) {
  if (host_ == nullptr) return;
  voter_changes_.OnStopping(host_->raft().replica(), process, now);
  if (!leading()) return;
  const std::optional<ReplicaId> next = ChooseNextLeader(
      host_->raft(), voter_changes_.stopping(), kElectionTimeoutMin);
  if (!next.has_value()) return;
  host_->raft().TransferLeadership(next, now);
  host_->Drain();
}

GroupRole ConfigurationLog::role(Time now) const {
  if (host_ == nullptr) return {};
  const Raft& raft = host_->raft();
  GroupRole role = RoleOf(raft, voter_changes_.stopping(), kElectionTimeoutMin);
  role.hears_majority =
      voter_changes_.HearsMajority(raft.configuration(), raft.replica(), now);
  return role;
}

ReplicaId ConfigurationLog::replica() const {
  return host_ == nullptr ? ReplicaId() : host_->raft().replica();
}

bool ConfigurationLog::leading() const {
  return host_ != nullptr && host_->raft().role() == RaftRole::kLeader;
}

std::optional<Time> ConfigurationLog::ConfirmedAt() const {
  if (!leading()) return std::nullopt;
  return host_->raft().QuorumConfirmedAt();
}

InstanceId ConfigurationLog::leader() const {
  if (host_ == nullptr) return members_sender_;
  const InstanceId& known = host_->raft().leader().instance;
  return known.empty() ? members_sender_ : known;
}

bool ConfigurationLog::Holds(const LogCommand& command) const {
  if (command.document.version > register_.current().version) return false;
  return std::all_of(command.leaving.begin(), command.leaving.end(),
                     [this](const LeavingEndpoint& leaving) {
                       return leaving_.Covers(leaving.record);
                     });
}

void ConfigurationLog::Submit(const InstanceId& origin,
                              std::uint64_t submission,
                              const LogCommand& command, Time now) {
  if (Holds(command)) {
    delegate_.OnSubmitted(origin, submission);
    return;
  }
  for (auto& [index, proposal] : proposals_) {
    if (proposal.command != command) continue;
    proposal.waiters.push_back({origin, submission});
    return;
  }
  if (!leading()) return;
  const ProposeResult result = host_->raft().Propose(Encode(command), now);
  if (!result.accepted()) {
    Log(LogLevel::kWarning, "proposal_refused",
        {{"version", command.document.version.value()},
         {"leaving", command.leaving.size()},
         {"reason", static_cast<int>(result.refusal)}});
    return;
  }
  proposals_[result.index] = {result.term, command, {{origin, submission}}};
  host_->Drain();
}

void ConfigurationLog::ReadCurrent(const InstanceId& origin, std::uint64_t read,
                                   Time now) {
  if (!leading()) return;
  reads_[next_read_] = {origin, read};
  host_->raft().Read(next_read_++, now);
  host_->Drain();
}

void ConfigurationLog::SendRaft(const proto::RaftMessage& message) {
  proto::NodeMessage envelope;
  envelope.set_raft(message.SerializeAsString());
  delegate_.SendToNode(InstanceId(message.to().instance()), envelope);
}

std::uint64_t ConfigurationLog::storage() const {
  return host_ == nullptr ? 0 : host_->raft().replica().storage;
}

RaftConfiguration ConfigurationLog::configuration() const {
  return host_ == nullptr ? RaftConfiguration() : host_->raft().configuration();
}

bool ConfigurationLog::HoldAllCommitted(const ReplicaLogs& logs) const {
  if (host_ == nullptr) return false;
  const auto is_known = [&](const ReplicaId& voter) {
    if (voter == host_->raft().replica()) return true;
    const auto found = logs.find(voter.instance);
    return found != logs.end() && found->second.storage == voter.storage;
  };
  const auto has_majority = [&](const RaftConfiguration& configuration) {
    const auto known = std::count_if(configuration.voters.begin(),
                                     configuration.voters.end(), is_known);
    return !configuration.voters.empty() &&
           static_cast<std::size_t>(known) >= configuration.Quorum();
  };
  return has_majority(configuration()) &&
         std::all_of(logs.begin(), logs.end(), [&](const auto& log) {
           return has_majority(log.second.configuration);
         });
}

void ConfigurationLog::OnStored(const StoredState& stored) {
  for (const LogEntry& entry : stored.entries) {
    LogCommand command;
    if (entry.kind != EntryKind::kData || !Decode(entry.data, &command)) {
      continue;
    }
    for (const LeavingEndpoint& leaving : command.leaving) {
      delegate_.OnLeaving(leaving);
    }
  }
}

void ConfigurationLog::OnInstall(const Snapshot& snapshot) {
  LogCommand command;
  if (snapshot.data.empty()) return;
  if (!Decode(snapshot.data, &command)) {
    Log(LogLevel::kError, "snapshot_malformed", {{"index", snapshot.index}});
    return;
  }
  Apply(std::move(command), BootTimeNow());
}

void ConfigurationLog::OnCommitted(const LogEntry& entry) {
  ++entries_since_compaction_;
  bytes_since_compaction_ += entry.data.size();
  const Time now = BootTimeNow();
  LogCommand command;
  const bool has_command = entry.kind == EntryKind::kData;
  if (has_command && !Decode(entry.data, &command)) {
    Log(LogLevel::kError, "log_entry_malformed", {{"index", entry.index}});
  } else if (has_command) {
    Apply(std::move(command), now);
  }
  const auto found = proposals_.find(entry.index);
  if (found != proposals_.end()) {
    const Proposal proposal = std::move(found->second);
    proposals_.erase(found);
    // An entry of another term replaced the proposal; its origin sends it
    // again.
    if (proposal.term != entry.term) return;
    for (const Waiter& waiter : proposal.waiters) {
      delegate_.OnSubmitted(waiter.origin, waiter.id);
    }
  }
}

void ConfigurationLog::Apply(LogCommand command, Time now) {
  for (const LeavingEndpoint& leaving : command.leaving) {
    if (leaving_.Apply(leaving, now)) delegate_.OnLeaving(leaving);
  }
  ApplyDocument(std::move(command.document));
}

void ConfigurationLog::ApplyDocument(VersionedDocument document) {
  const Revision version = document.version;
  if (!register_.Apply(std::move(document))) return;
  Log(LogLevel::kInfo, "configuration_committed",
      {{"version", version.value()}});
  delegate_.OnConfiguration(register_.current());
}

// Not earlier: the replica counts the entries of a batch as applied before the
// first of them is.
void ConfigurationLog::OnDispatched() {
  WatchMembers();
  CompactIfDue(BootTimeNow());
}

// Replicas are added by the planner of this leader, by an earlier leader, and
// by Raft itself, where an instance comes back without its disk.
void ConfigurationLog::WatchMembers() {
  const RaftConfiguration& current = host_->raft().configuration();
  if (current == known_members_) return;
  const auto is_new = [this](const ReplicaId& replica) {
    return !known_members_.IsMember(replica);
  };
  has_new_member_ |= std::ranges::any_of(current.voters, is_new) ||
                     std::ranges::any_of(current.learners, is_new);
  known_members_ = current;
}

void ConfigurationLog::CompactIfDue(Time now) {
  if (!IsCompactionDue(now)) return;
  has_new_member_ = false;
  entries_since_compaction_ = 0;
  bytes_since_compaction_ = 0;
  has_forgotten_ = false;
  next_forgetting_ = now + leaving_.lifetime();
  host_->raft().Compact(host_->raft().applied_index(),
                        Encode(LogCommand{.document = register_.current(),
                                          .leaving = leaving_.All(now)}));
}

bool ConfigurationLog::IsCompactionDue(Time now) const {
  if (entries_since_compaction_ == 0) return false;
  const bool forgets = has_forgotten_ && now >= next_forgetting_;
  return entries_since_compaction_ >= kEntriesPerSnapshot ||
         bytes_since_compaction_ >= kBytesPerSnapshot || forgets ||
         (has_new_member_ && leading());
}

void ConfigurationLog::OnRead(const ReadResult& read) {
  const auto found = reads_.find(read.id);
  if (found == reads_.end()) return;
  const Waiter waiter = found->second;
  reads_.erase(found);
  delegate_.OnCurrentRead(waiter.origin, waiter.id, read.served);
}

void ConfigurationLog::OnRoleChanged() {
  const Raft& raft = host_->raft();
  Log(LogLevel::kInfo, "consensus_role",
      {{"role", leading() ? "leader" : "follower"},
       {"term", raft.term()},
       {"leader", raft.leader().instance.value()}});
  if (leading()) return;
  // The origins send again, to the next leader.
  proposals_.clear();
}

void ConfigurationLog::AdvanceVoters(Time now) {
  voter_changes_.Advance(host_->raft(), now);
  host_->Drain();
}

void ConfigurationLog::OnSync(const InstanceId& from, Incarnation process,
                              const proto::Sync& sync, Time now) {
  voter_changes_.OnSync(from, process, sync, now);
  if (sync.has_stopping() && leading()) AdvanceVoters(now);
}

bool ConfigurationLog::KeepsVote(const ReplicaId& voter, Time now) {
  return voter_changes_.KeepsVote(host_->raft(), voter, now);
}

std::unique_ptr<proto::Members> ConfigurationLog::Members() const {
  if (!leading()) return nullptr;
  const Raft& raft = host_->raft();
  if (!raft.configuration_committed()) return nullptr;
  auto members = std::make_unique<proto::Members>();
  *members->mutable_configuration() = ToProto(raft.configuration());
  members->set_commit(raft.commit_index());
  return members;
}

void ConfigurationLog::OnMembers(const InstanceId& from,
                                 const proto::Members& members, Time now) {
  members_sender_ = from;
  members_received_ = now;
  if (host_ == nullptr) return;
  const Raft& raft = host_->raft();
  const auto configuration = FromProto(members.configuration());
  if (!configuration.has_value()) return;
  host_->raft().LearnVoters(*configuration);
  const bool own_group = raft.configuration().group == configuration->group;
  if (!own_group || members.commit() < raft.commit_index()) return;
  if (configuration->IsMember(raft.replica())) return;
  // A voter that is being removed learns of it from the log before this.
  reset_due_ = true;
}

}  // namespace cassiausher
