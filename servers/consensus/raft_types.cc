// Conversions between the value types of the log and protobuf messages.
#include "servers/consensus/raft_types.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cassiausher {

std::string ToString(const ReplicaId& replica) {
  return fmt::format("{}/{:x}", replica.instance.value(), replica.storage);
}

proto::ReplicaId ToProto(const ReplicaId& replica) {
  proto::ReplicaId message;
  message.set_instance(replica.instance.value());
  message.set_storage(replica.storage);
  return message;
}

proto::RaftConfiguration ToProto(const RaftConfiguration& configuration) {
  proto::RaftConfiguration message;
  message.set_group(configuration.group);
  for (const ReplicaId& voter : configuration.voters) {
    *message.add_voters() = ToProto(voter);
  }
  for (const ReplicaId& learner : configuration.learners) {
    *message.add_learners() = ToProto(learner);
  }
  if (configuration.replacement) {
    auto* replacement = message.mutable_replacement();
    *replacement->mutable_lost() = ToProto(configuration.replacement->lost);
    *replacement->mutable_replacement() =
        ToProto(configuration.replacement->replacement);
    replacement->set_keeps_log(configuration.replacement->keeps_log);
  }
  for (const auto& [replica, index] : configuration.admissions) {
    proto::RaftAdmission* admission = message.add_admissions();
    *admission->mutable_replica() = ToProto(replica);
    admission->set_index(index);
  }
  return message;
}

proto::RaftEntry ToProto(const LogEntry& entry) {
  proto::RaftEntry message;
  message.set_index(entry.index);
  message.set_term(entry.term);
  message.set_kind(static_cast<proto::RaftEntryKind>(entry.kind));
  message.set_data(entry.data);
  return message;
}

proto::RaftHardState ToProto(const HardState& state) {
  proto::RaftHardState message;
  message.set_term(state.term);
  if (!state.vote.empty()) *message.mutable_vote() = ToProto(state.vote);
  message.set_commit(state.commit);
  message.set_storage(state.storage);
  return message;
}

proto::RaftSnapshot ToProto(const Snapshot& snapshot) {
  proto::RaftSnapshot message;
  message.set_index(snapshot.index);
  message.set_term(snapshot.term);
  *message.mutable_configuration() = ToProto(snapshot.configuration);
  message.set_data(snapshot.data);
  return message;
}

ReplicaId FromProto(const proto::ReplicaId& replica) {
  return {InstanceId(replica.instance()), replica.storage()};
}

HardState FromProto(const proto::RaftHardState& state) {
  HardState result;
  result.term = state.term();
  if (state.has_vote()) result.vote = FromProto(state.vote());
  result.commit = state.commit();
  result.storage = state.storage();
  return result;
}

std::optional<RaftConfiguration> FromProto(
    const proto::RaftConfiguration& configuration) {
  RaftConfiguration result;
  result.group = configuration.group();
  for (const auto& voter : configuration.voters()) {
    result.voters.insert(FromProto(voter));
  }
  for (const auto& learner : configuration.learners()) {
    result.learners.insert(FromProto(learner));
  }
  if (configuration.has_replacement()) {
    result.replacement =
        Replacement{FromProto(configuration.replacement().lost()),
                    FromProto(configuration.replacement().replacement()),
                    configuration.replacement().keeps_log()};
  }
  for (const auto& admission : configuration.admissions()) {
    const ReplicaId replica = FromProto(admission.replica());
    if (!result.IsMember(replica)) return std::nullopt;
    result.admissions[replica] = admission.index();
  }
  if (result.group == 0 || result.voters.empty()) return std::nullopt;
  const auto is_empty = [](const ReplicaId& id) { return id.empty(); };
  const auto is_voter = [&](const ReplicaId& id) { return result.IsVoter(id); };
  if (std::ranges::any_of(result.voters, is_empty)) return std::nullopt;
  if (std::ranges::any_of(result.learners, is_empty)) return std::nullopt;
  if (std::ranges::any_of(result.learners, is_voter)) return std::nullopt;
  return result;
}

std::optional<LogEntry> FromProto(const proto::RaftEntry& entry) {
  if (entry.index() == 0 || entry.term() == 0) return std::nullopt;
  if (!proto::RaftEntryKind_IsValid(entry.kind())) return std::nullopt;
  LogEntry result{entry.index(), entry.term(),
                  static_cast<EntryKind>(entry.kind()), entry.data()};
  if (result.kind == EntryKind::kConfiguration &&
      !ParseConfiguration(result.data)) {
    return std::nullopt;
  }
  return result;
}

std::optional<Snapshot> FromProto(const proto::RaftSnapshot& snapshot) {
  if (snapshot.index() == 0 || snapshot.term() == 0) return std::nullopt;
  auto configuration = FromProto(snapshot.configuration());
  if (!configuration) return std::nullopt;
  return Snapshot{snapshot.index(), snapshot.term(), std::move(*configuration),
                  snapshot.data()};
}

std::optional<RaftConfiguration> ParseConfiguration(const std::string& data) {
  proto::RaftConfiguration message;
  if (!message.ParseFromString(data)) return std::nullopt;
  return FromProto(message);
}

}  // namespace cassiausher
