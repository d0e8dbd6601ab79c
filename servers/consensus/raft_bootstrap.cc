// Raft: replicas that aren't members find the group, or found it.
#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "servers/consensus/raft.h"

namespace cassiausher {
namespace {

/// Maximum replicas in `unconfigured_replicas_` and instances in
/// `hello_targets_`; further ones are ignored until the next restart.
constexpr std::size_t kMaxUnconfigured = 64;

}  // namespace

bool Raft::StepHello(const proto::RaftMessage& message, const ReplicaId& from) {
  if (message.has_hello()) {
    if (message.to().instance() != options_.self.value()) {
      ++counters_.wrong_destination;
      return true;
    }
    HandleHello(from, message.hello());
    return true;
  }
  if (!message.has_hello_reply()) return false;
  if (FromProto(message.to()) != replica_) {
    ++counters_.wrong_destination;
    return true;
  }
  HandleHelloReply(from, message.hello_reply());
  return true;
}

void Raft::SendHellos() {
  const bool joins = bootstrap_forbidden_ || !configurations_.empty();
  // The first ones may be lost while connections are being made.
  next_hello_ = now_ + (joins ? 2 : 1) * options_.heartbeat;
  std::set<InstanceId> targets = hello_targets_;
  for (const ReplicaId& voter : configuration().voters) {
    targets.insert(voter.instance);
  }
  for (const InstanceId& target : targets) {
    if (target == options_.self) continue;
    proto::RaftMessage message = NewMessage(ReplicaId{target, 0});
    for (const InstanceId& name : options_.initial_voters) {
      message.mutable_hello()->add_founders(name.value());
    }
    // After the sync: the storage ID must be durable before others learn it.
    output_.messages_after_sync.push_back(std::move(message));
  }
  BootstrapIfAllReplied();
}

void Raft::HandleHello(const ReplicaId& from, const proto::RaftHello&) {
  std::erase_if(unconfigured_replicas_, [&](const auto& known) {
    return known.first.instance == from.instance;
  });
  if (unconfigured_replicas_.size() < kMaxUnconfigured)
    unconfigured_replicas_[from] = now_;
  proto::RaftMessage response = NewMessage(from);
  auto* reply = response.mutable_hello_reply();
  reply->set_configured(!configurations_.empty() || term() > 0);
  for (const InstanceId& name : options_.initial_voters) {
    reply->add_founders(name.value());
  }
  for (const ReplicaId& voter : configuration().voters) {
    reply->add_voters(voter.instance.value());
  }
  output_.messages_after_sync.push_back(std::move(response));
}

void Raft::HandleHelloReply(const ReplicaId& from,
                            const proto::RaftHelloReply& reply) {
  if (!configurations_.empty()) return;
  for (const std::string& voter : reply.voters()) {
    if (hello_targets_.size() < kMaxUnconfigured) {
      hello_targets_.insert(InstanceId(voter));
    }
  }
  if (reply.configured()) {
    bootstrap_forbidden_ = true;
    return;
  }
  std::set<InstanceId> initial_voters;
  for (const std::string& name : reply.founders()) {
    initial_voters.insert(InstanceId(name));
  }
  if (initial_voters != options_.initial_voters) {
    ++counters_.malformed;
    return;
  }
  unconfigured_initial_voters_[from.instance] = from;
  BootstrapIfAllReplied();
}

void Raft::LearnVoters(const RaftConfiguration& configuration) {
  if (!configurations_.empty()) return;
  for (const ReplicaId& voter : configuration.voters) {
    if (hello_targets_.size() >= kMaxUnconfigured) return;
    hello_targets_.insert(voter.instance);
  }
}

bool Raft::IsFounder() const {
  // Only the first initial voter bootstraps, so that no two groups can be
  // bootstrapped concurrently.
  return !options_.initial_voters.empty() &&
         *options_.initial_voters.begin() == options_.self;
}

void Raft::BootstrapIfAllReplied() {
  if (!IsFounder()) return;
  if (bootstrap_forbidden_ || !configurations_.empty() || term() > 0) return;
  RaftConfiguration first;
  first.group = replica_.storage;
  first.voters.insert(replica_);
  for (const InstanceId& initial : options_.initial_voters) {
    if (initial == options_.self) continue;
    const auto found = unconfigured_initial_voters_.find(initial);
    if (found == unconfigured_initial_voters_.end()) return;
    first.voters.insert(found->second);
  }
  SetTerm(1);
  AppendNewEntry(EntryKind::kConfiguration, ToProto(first).SerializeAsString());
  election_deadline_ = now_;
}

}  // namespace cassiausher
