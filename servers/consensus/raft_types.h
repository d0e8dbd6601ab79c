// Value types of the replicated log and their conversions to protobuf.
#ifndef SERVERS_CONSENSUS_RAFT_TYPES_H_
#define SERVERS_CONSENSUS_RAFT_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/ids.h"
#include "proto/gen/raft.pb.h"

namespace cassiausher {

/// Position in the log. The first entry has index 1; 0 means none.
using LogIndex = std::uint64_t;
/// Election term; 0 before the first election.
using Term = std::uint64_t;

/// Identifies a replica by its instance and storage ID. An instance that lost
/// its disk returns with a new storage ID, so that its votes and
/// acknowledgements are not mistaken for those of the lost replica.
struct ReplicaId {
  InstanceId instance;
  std::uint64_t storage = 0;

  bool empty() const { return instance.empty(); }
  auto operator<=>(const ReplicaId&) const = default;
};

/// Formats a replica as `INSTANCE/STORAGE`, with the storage ID in hexadecimal.
std::string ToString(const ReplicaId& replica);

/// Replacement of a voter that is in progress.
struct Replacement {
  ReplicaId lost;
  ReplicaId replacement;
  /// `lost` hands its vote over and remains as a learner; otherwise it is
  /// removed.
  bool keeps_log = false;
  bool operator==(const Replacement&) const = default;
};

/// Members of the Raft group. Invariants: no replica is both voter and learner;
/// successive configurations differ by at most one voter, so that each quorum
/// of one overlaps each quorum of the other.
struct RaftConfiguration {
  /// ID of the group and its log; 0 if there is no configuration yet.
  std::uint64_t group = 0;
  std::set<ReplicaId> voters;
  std::set<ReplicaId> learners;
  /// Part of the replicated configuration, so that a new leader continues the
  /// replacement.
  std::optional<Replacement> replacement;
  /// Index of the entry that added each member; none for the members of the
  /// first configuration. Contains members only.
  std::map<ReplicaId, LogIndex> admissions;

  /// 0 for a member of the first configuration.
  LogIndex AdmittedAt(const ReplicaId& id) const {
    const auto found = admissions.find(id);
    return found == admissions.end() ? 0 : found->second;
  }
  bool IsVoter(const ReplicaId& id) const { return voters.contains(id); }
  bool IsMember(const ReplicaId& id) const {
    return voters.contains(id) || learners.contains(id);
  }
  std::size_t Quorum() const { return voters.size() / 2 + 1; }
  bool operator==(const RaftConfiguration&) const = default;
};

enum class EntryKind { kData, kNoOperation, kConfiguration };

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kData;
  std::string data;
  bool operator==(const LogEntry&) const = default;
};

/// Raft's persistent state besides the log. `term` never decreases; `vote` does
/// not change within a term once it is set.
struct HardState {
  Term term = 0;
  ReplicaId vote;
  /// Lower bound of the commit index; need not be synced.
  LogIndex commit = 0;
  /// Storage ID of this replica; 0 before the first start.
  std::uint64_t storage = 0;
  bool operator==(const HardState&) const = default;
};

/// State of the application after it applied the entry at `index`. A snapshot
/// contains committed entries only.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  RaftConfiguration configuration;
  std::string data;
  bool operator==(const Snapshot&) const = default;
};

proto::ReplicaId ToProto(const ReplicaId& replica);
proto::RaftConfiguration ToProto(const RaftConfiguration& configuration);
proto::RaftEntry ToProto(const LogEntry& entry);
proto::RaftHardState ToProto(const HardState& state);
proto::RaftSnapshot ToProto(const Snapshot& snapshot);

ReplicaId FromProto(const proto::ReplicaId& replica);
HardState FromProto(const proto::RaftHardState& state);
/// These return nullopt if the message violates an invariant of the type.
std::optional<RaftConfiguration> FromProto(
    const proto::RaftConfiguration& configuration);
std::optional<LogEntry> FromProto(const proto::RaftEntry& entry);
std::optional<Snapshot> FromProto(const proto::RaftSnapshot& snapshot);

/// Parses the data of a configuration entry; nullopt if malformed.
std::optional<RaftConfiguration> ParseConfiguration(const std::string& data);

}  // namespace cassiausher

#endif  // SERVERS_CONSENSUS_RAFT_TYPES_H_
