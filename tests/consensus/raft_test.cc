// Guards the behaviour of Raft in single scenarios, on small groups in which
// every write is durable immediately. raft_random_test.cc covers combinations
// of faults.
#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <string>

#include "tests/consensus/group.h"

using namespace cassiausher;  // NOLINT: test file

TEST_GROUP(Raft) {
  Group group{{"a", "b", "c"}};

  std::string Follower() {
    for (const auto& [name, node] : group.nodes) {
      if (name != group.Leader()) return name;
    }
    return "";
  }
};

TEST(Raft, BootstrapsElectsALeaderAndCommits) {
  group.Run(Seconds(3));
  CHECK(group.Leader() != "");
  CHECK(group.LeaderRaft().Propose("x", group.now).accepted());
  group.Settle();
  for (const auto& [name, node] : group.nodes) CHECK(group.Applied(name, "x"));
}

// Guards against an instance with an empty disk that bootstraps a second group.
TEST(Raft, NoBootstrapWhileAnInitialVoterIsUnreachable) {
  group.disconnected = {"c"};
  group.Run(Seconds(10));
  STRCMP_EQUAL("", group.Leader().c_str());
  group.disconnected.clear();
  group.Run(Seconds(3));
  CHECK(group.Leader() != "");
}

TEST(Raft, InstanceWithEmptyDiskNeitherBootstrapsNorBecomesMember) {
  group.Run(Seconds(3));
  group.Start("a", 2);
  group.Run(Seconds(10));
  CHECK(group.Leader() != "a");
  CHECK(group.At("a").configuration().voters.empty());
  CHECK(group.LeaderRaft().unconfigured_replicas().contains(
      {InstanceId("a"), 2}));
}

// Guards against stale reads from a leader that is partitioned from the group.
TEST(Raft, IsolatedLeaderStepsDownAndServesNoRead) {
  group.Run(Seconds(3));
  const std::string old_leader = group.Leader();
  group.disconnected = {old_leader};
  group.At(old_leader).Read(7, group.now);
  group.Run(Milliseconds(1100));
  CHECK(group.At(old_leader).role() != RaftRole::kLeader);
  LONGS_EQUAL(1, group.nodes[old_leader].reads.size());
  CHECK(!group.nodes[old_leader].reads[0].served);
}

TEST(Raft, ReadIsServedAfterARoundOfHeartbeats) {
  group.Run(Seconds(3));
  group.LeaderRaft().Read(7, group.now);
  group.Settle();
  const auto& reads = group.nodes[group.Leader()].reads;
  LONGS_EQUAL(1, reads.size());
  CHECK(reads[0].served);
}

// Guards against an instance that returns from a partition and deposes a
// healthy leader.
TEST(Raft, FollowerReturningFromAPartitionDoesNotDeposeTheLeader) {
  group.Run(Seconds(3));
  const std::string leader = group.Leader();
  const Term term = group.LeaderRaft().term();
  group.disconnected = {Follower()};
  group.Run(Seconds(20));
  group.disconnected.clear();
  group.Run(Seconds(3));
  STRCMP_EQUAL(leader.c_str(), group.Leader().c_str());
  LONGS_EQUAL(term, group.LeaderRaft().term());
}

TEST(Raft, FollowerBehindTheCompactedLogGetsSnapshotInChunks) {
  group.Run(Seconds(3));
  const std::string behind = Follower();
  group.disconnected = {behind};
  for (int i = 0; i < 20; ++i) {
    group.LeaderRaft().Propose(std::to_string(i), group.now);
    group.Settle();
  }
  CHECK(group.LeaderRaft().Compact(group.LeaderRaft().applied_index(),
                                   "state of twenty entries"));
  group.disconnected.clear();
  group.Run(Seconds(3));
  CHECK(group.nodes[behind].installed.has_value());
  STRCMP_EQUAL("state of twenty entries",
               group.nodes[behind].installed->data.c_str());
  group.LeaderRaft().Propose("after", group.now);
  group.Settle();
  CHECK(group.Applied(behind, "after"));
}

// Review case 12: a replica with an empty disk was sent megabytes of entries
// that a snapshot covers, and wasn't complete when the next disk was lost.
TEST(Raft, AnEmptyReplicaGetsASnapshotWhileTheEntriesAreStillKept) {
  group.entries_kept_after_compaction = 1000;
  for (const char* name : {"a", "b", "c"}) group.Start(name, 1);
  group.Run(Seconds(3));
  for (int i = 0; i < 20; ++i) {
    CHECK(group.LeaderRaft().Propose("past", group.now).accepted());
    group.Settle();
  }
  CHECK(group.LeaderRaft().Compact(group.LeaderRaft().applied_index(),
                                   "state of twenty entries"));
  LONGS_EQUAL(1, group.LeaderRaft().first_kept_index());
  group.Start("d", 9);
  group.Run(Seconds(3));
  CHECK(group.LeaderRaft()
            .AddLearner({InstanceId("d"), 9}, group.now)
            .accepted());
  group.Run(Seconds(1));
  CHECK(group.nodes["d"].installed.has_value());
  CHECK_FALSE(group.Applied("d", "past"));
  CHECK(group.LeaderRaft().Propose("after", group.now).accepted());
  group.Settle();
  CHECK(group.Applied("d", "after"));
}

TEST(Raft, TransferMakesTheChosenVoterLeader) {
  group.Run(Seconds(3));
  const std::string to = Follower();
  CHECK(
      group.LeaderRaft().TransferLeadership(group.At(to).replica(), group.now));
  CHECK(!group.LeaderRaft().Propose("late", group.now).accepted());
  group.Settle();
  STRCMP_EQUAL(to.c_str(), group.Leader().c_str());
}

// Guards against the loss of committed entries when a second voter is lost
// right after the first was replaced.
TEST(Raft, LossOfASecondVoterAfterAReplacementKeepsCommittedEntries) {
  group.Run(Seconds(3));
  CHECK(group.LeaderRaft().Propose("before", group.now).accepted());
  group.Settle();
  const std::string lost = Follower();
  const ReplicaId lost_id = group.At(lost).replica();
  group.nodes.erase(lost);
  group.Start("d", 9);
  group.Run(Seconds(3));
  const ReplicaId replacement{InstanceId("d"), 9};
  CHECK(group.LeaderRaft()
            .ReplaceVoter(lost_id, replacement, group.now)
            .accepted());
  group.Run(Seconds(1));
  CHECK(!group.LeaderRaft().configuration().replacement.has_value());
  CHECK(group.LeaderRaft().configuration().IsVoter(replacement));
  CHECK(!group.LeaderRaft().configuration().IsMember(lost_id));
  group.nodes.erase(group.Leader());
  group.Run(Seconds(5));
  CHECK(group.Leader() != "");
  CHECK(group.LeaderRaft().Propose("after", group.now).accepted());
  group.Settle();
  CHECK(group.Applied("d", "before"));
  CHECK(group.Applied("d", "after"));
}

// Issue 62: guards against a vote that is lost with the machine which holds it,
// when another one loses its disk next.
TEST(Raft, LossOfADiskRightAfterAHandOverKeepsCommittedEntries) {
  group.Run(Seconds(3));
  const std::string leaving = Follower();
  const ReplicaId from = group.At(leaving).replica();
  group.Start("d", 9);
  group.Run(Seconds(3));
  const ReplicaId to{InstanceId("d"), 9};
  CHECK(group.LeaderRaft().HandOverVote(from, to, group.now).accepted());
  group.Run(Milliseconds(500));
  CHECK(group.LeaderRaft().configuration().IsVoter(to));
  CHECK(group.LeaderRaft().configuration().learners.contains(from));
  CHECK(group.LeaderRaft().Propose("last", group.now).accepted());
  group.Settle();
  group.nodes.erase(leaving);
  group.nodes.erase(group.Leader());
  group.Run(Seconds(5));
  CHECK(group.LeaderRaft().Propose("after", group.now).accepted());
  group.Settle();
  CHECK(group.Applied("d", "last"));
  CHECK(group.Applied("d", "after"));
}

// Guards against a group that elects nobody: the entry that takes a voter's
// vote had reached that voter only, when the leader lost its disk.
TEST(Raft, AVoterWhoseVoteIsBeingTakenCanStillBeElected) {
  group.Run(Seconds(3));
  const std::string leader = group.Leader();
  const std::string demoted = Follower();
  group.Start("d", 9);
  group.Run(Seconds(3));
  const ReplicaId added{InstanceId("d"), 9};
  CHECK(group.LeaderRaft().AddLearner(added, group.now).accepted());
  group.Run(Seconds(1));
  CHECK(group.LeaderRaft().Promote(added, group.now).accepted());
  group.Run(Seconds(1));
  LONGS_EQUAL(4, group.LeaderRaft().configuration().voters.size());
  for (const auto& [name, node] : group.nodes) {
    if (name != leader && name != demoted) group.disconnected.insert(name);
  }
  CHECK(group.LeaderRaft()
            .Demote(group.At(demoted).replica(), group.now)
            .accepted());
  group.Settle();
  CHECK(
      !group.At(demoted).configuration().IsVoter(group.At(demoted).replica()));
  group.nodes.erase(leader);
  group.disconnected.clear();
  group.Run(Seconds(10));
  CHECK(group.Leader() != "" && group.Leader() != demoted);
  CHECK(group.LeaderRaft().Propose("after", group.now).accepted());
  group.Settle();
  CHECK(group.Applied("d", "after"));
}

// Guards against a group without a leader until an election timeout has passed.
TEST(Raft, ALeaderThatHandsItsVoteOverTransfersItsLeadershipFirst) {
  group.Run(Seconds(3));
  const std::string leaving = group.Leader();
  const ReplicaId from = group.At(leaving).replica();
  group.Start("d", 9);
  group.Run(Seconds(3));
  CHECK(group.LeaderRaft()
            .HandOverVote(from, {InstanceId("d"), 9}, group.now)
            .accepted());
  group.Run(Milliseconds(300));
  CHECK(group.Leader() != "" && group.Leader() != leaving);
  CHECK(!group.LeaderRaft().configuration().IsVoter(from));
  CHECK(!group.At(leaving).configuration().IsVoter(from));
  CHECK(group.LeaderRaft().Propose("after", group.now).accepted());
  group.Settle();
  CHECK(group.Applied(leaving, "after"));
}

// Guards against a replica that counts itself as a voter by its old log, after
// it gave its vote away and returns with its old disk.
TEST(Raft, ADemotedVoterThatWasAwayDisturbsNobody) {
  group.Run(Seconds(3));
  const std::string away = Follower();
  const ReplicaId demoted = group.At(away).replica();
  group.disconnected = {away};
  CHECK(group.LeaderRaft().Demote(demoted, group.now).accepted());
  group.Run(Seconds(5));
  const std::string leader = group.Leader();
  const Term term = group.LeaderRaft().term();
  LONGS_EQUAL(2, group.LeaderRaft().configuration().voters.size());
  group.disconnected.clear();
  group.Run(Seconds(5));
  STRCMP_EQUAL(leader.c_str(), group.Leader().c_str());
  LONGS_EQUAL(term, group.LeaderRaft().term());
  CHECK(!group.At(away).configuration().IsVoter(demoted));
  CHECK(group.LeaderRaft().Promote(demoted, group.now).accepted());
}

// Guards against a vote that goes back and forth between two replicas: the
// planner tells the newer one by this.
TEST(Raft, MembersKeepTheIndexAtWhichTheyWereAdmitted) {
  group.Run(Seconds(3));
  const ReplicaId founder = group.At(Follower()).replica();
  group.Start("d", 9);
  group.Run(Seconds(3));
  const ReplicaId added{InstanceId("d"), 9};
  CHECK(group.LeaderRaft().AddLearner(added, group.now).accepted());
  const LogIndex index = group.LeaderRaft().last_index();
  group.Run(Seconds(1));
  CHECK(group.LeaderRaft().HandOverVote(founder, added, group.now).accepted());
  group.Run(Seconds(1));
  const RaftConfiguration& members = group.At("d").configuration();
  CHECK(members.IsVoter(added));
  LONGS_EQUAL(index, members.AdmittedAt(added));
  LONGS_EQUAL(0, members.AdmittedAt(founder));
  CHECK(group.LeaderRaft().Remove(added, group.now).accepted());
  LONGS_EQUAL(0, group.LeaderRaft().configuration().AdmittedAt(added));
}

// No operator command is needed when the same instance returns with an empty
// disk.
TEST(Raft, VoterWithEmptyDiskIsReplacedByItsNewReplica) {
  group.replace_same_instance = true;
  for (const char* name : {"a", "b", "c"}) group.Start(name, 1);
  group.Run(Seconds(3));
  CHECK(group.LeaderRaft().Propose("before", group.now).accepted());
  group.Settle();
  const std::string wiped = Follower();
  const ReplicaId old_replica = group.At(wiped).replica();
  group.Start(wiped, 2);
  group.Run(Seconds(5));
  const RaftConfiguration& members = group.LeaderRaft().configuration();
  CHECK(members.IsVoter({InstanceId(wiped), 2}));
  CHECK(!members.IsMember(old_replica));
  LONGS_EQUAL(3, members.voters.size());
  CHECK(group.Applied(wiped, "before"));
}

// Guards against two processes with the same instance name that keep replacing
// each other.
TEST(Raft, ResponsiveVoterIsNotReplacedByAnotherReplicaOfItsInstance) {
  group.replace_same_instance = true;
  for (const char* name : {"a", "b", "c"}) group.Start(name, 1);
  group.Run(Seconds(3));
  const RaftConfiguration before = group.LeaderRaft().configuration();
  const std::string duplicate = Follower();
  proto::RaftMessage hello;
  *hello.mutable_from() = ToProto({InstanceId(duplicate), 2});
  hello.mutable_to()->set_instance(group.Leader());
  hello.mutable_hello();
  for (int i = 0; i < 100; ++i) {
    group.LeaderRaft().Step(hello, group.now);
    group.Run(Milliseconds(100));
  }
  CHECK(group.LeaderRaft().configuration() == before);
}

TEST(Raft, LeaderStepsDownWhenItsStorageFails) {
  group.Run(Seconds(3));
  const std::string leader = group.Leader();
  group.LeaderRaft().OnPersistFailed(group.now);
  CHECK(group.At(leader).role() == RaftRole::kFollower);
  group.Run(Seconds(5));
  CHECK(group.Leader() != "");
}

TEST(Raft, MessagesOfNonMembersAreCountedAndIgnored) {
  group.Run(Seconds(3));
  Raft& leader = group.LeaderRaft();
  const Term term = leader.term();
  proto::RaftMessage message;
  leader.Step(message, group.now);
  LONGS_EQUAL(1, leader.counters().malformed);
  message.mutable_from()->set_instance("x");
  message.mutable_from()->set_storage(5);
  *message.mutable_to() = ToProto(leader.replica());
  message.set_term(term + 50);
  message.set_group(leader.configuration().group + 1);
  message.mutable_append();
  leader.Step(message, group.now);
  LONGS_EQUAL(1, leader.counters().non_member);
  message.mutable_to()->set_storage(77);
  leader.Step(message, group.now);
  LONGS_EQUAL(1, leader.counters().wrong_destination);
  LONGS_EQUAL(term, leader.term());
}

// The target for all control traffic of an idle node is 3 KB/s; consensus is
// one part of it.
TEST(Raft, IdleGroupStaysWithinTheTrafficTarget) {
  constexpr int kSeconds = 60;
  constexpr double kTargetBytesPerSecond = 3000;
  group.Run(Seconds(3));
  std::map<std::string, std::uint64_t> bytes;
  std::uint64_t messages = 0;
  group.observer = [&](const proto::RaftMessage& message) {
    ++messages;
    bytes[message.from().instance()] += message.ByteSizeLong();
  };
  group.Run(Seconds(kSeconds));
  const double leader = static_cast<double>(bytes[group.Leader()]) / kSeconds;
  std::printf("idle group of 3: %.1f messages/s, leader sends %.0f bytes/s\n",
              static_cast<double>(messages) / kSeconds, leader);
  CHECK(leader < kTargetBytesPerSecond);
}

// Guards against an instance without contact to a quorum that vouches for its
// configuration as the newest.
TEST(Raft, OnlyALeaderInContactWithAQuorumIsConfirmed) {
  group.Run(Seconds(3));
  const std::string leader = group.Leader();
  CHECK(!group.At(Follower()).QuorumConfirmedAt().has_value());
  CHECK(group.At(leader).QuorumConfirmedAt().value() >=
        group.now - Milliseconds(200));
  const Time isolated_at = group.now;
  group.disconnected = {leader};
  group.Run(Milliseconds(800));
  const auto confirmed_at = group.At(leader).QuorumConfirmedAt();
  CHECK(!confirmed_at.has_value() || *confirmed_at <= isolated_at);
  group.Run(Seconds(2));
  CHECK(!group.At(leader).QuorumConfirmedAt().has_value());
}

// Guards against a leader whose memory grows with the size of the entries that
// an unreachable follower hasn't acknowledged (beside incident inc1).
TEST(Raft, AppendsOnTheirWayAreBoundedInBytes) {
  constexpr std::size_t kEntryBytes = 1000 * 1000;
  const RaftOptions defaults;
  group.Run(Seconds(3));
  const std::string silent = Follower();
  std::size_t sent = 0;
  group.observer = [&](const proto::RaftMessage& message) {
    if (message.to().instance() == silent) sent += message.ByteSizeLong();
  };
  group.disconnected = {silent};
  for (std::size_t i = 0; i < defaults.max_inflight; ++i) {
    group.LeaderRaft().Propose(std::string(kEntryBytes, 'x'), group.now);
    group.Settle();
  }
  CHECK(sent < defaults.max_inflight_bytes + 2 * kEntryBytes);
  group.observer = nullptr;
  group.disconnected.clear();
  group.Run(Seconds(2));
  LONGS_EQUAL(group.LeaderRaft().last_index(), group.At(silent).last_index());
}

// Guards against a log whose memory grows with the size of its entries: only
// their number was bounded (beside incident inc1).
TEST(Raft, EntriesKeptAfterCompactionAreBoundedInBytes) {
  constexpr std::size_t kEntryBytes = 1000 * 1000;
  constexpr int kEntries = 20;
  const RaftOptions defaults;
  group.entries_kept_after_compaction = kEntries;
  group.Start("a", 2);
  group.Start("b", 2);
  group.Start("c", 2);
  group.Run(Seconds(3));
  for (int i = 0; i < kEntries; ++i) {
    group.LeaderRaft().Propose(std::string(kEntryBytes, 'x'), group.now);
    group.Settle();
  }
  Raft& leader = group.LeaderRaft();
  CHECK(leader.Compact(leader.applied_index(), "state"));
  const std::uint64_t kept =
      leader.last_index() + 1 - leader.first_kept_index();
  CHECK(kept * kEntryBytes <= defaults.bytes_kept_after_compaction);
  CHECK(kept > 0);
}
