// Guards the rules of Raft that random faults rarely exercise, by sending
// single messages to replica `a` of the voters `a`, `b` and `c`.
#include <CppUTest/TestHarness.h>
#include <xxhash.h>

#include <memory>
#include <string>
#include <vector>

#include "servers/consensus/raft.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

const ReplicaId replica_a{InstanceId("a"), 1};
const ReplicaId replica_b{InstanceId("b"), 1};
const ReplicaId replica_c{InstanceId("c"), 1};

RaftConfiguration ThreeVoters() {
  RaftConfiguration configuration;
  configuration.group = 1;
  configuration.voters = {replica_a, replica_b, replica_c};
  return configuration;
}

/// A log with a configuration entry of term 1 and a data entry per element of
/// `terms`.
StoredState Stored(const std::vector<Term>& terms) {
  StoredState stored;
  stored.hard_state.term = terms.empty() ? 1 : terms.back();
  stored.hard_state.storage = 1;
  stored.entries.push_back({1, 1, EntryKind::kConfiguration,
                            ToProto(ThreeVoters()).SerializeAsString()});
  for (const Term term : terms) {
    stored.entries.push_back(
        {stored.entries.size() + 1, term, EntryKind::kData, "x"});
  }
  return stored;
}

proto::RaftMessage From(const ReplicaId& from, Term term) {
  proto::RaftMessage message;
  *message.mutable_from() = ToProto(from);
  *message.mutable_to() = ToProto(replica_a);
  message.set_term(term);
  message.set_group(1);
  return message;
}

proto::RaftMessage AppendFrom(const ReplicaId& from, Term term, LogIndex index,
                              Term previous_term, LogIndex commit) {
  proto::RaftMessage message = From(from, term);
  message.mutable_append()->set_previous_index(index - 1);
  message.mutable_append()->set_previous_term(previous_term);
  message.mutable_append()->set_commit(commit);
  *message.mutable_append()->add_entries() =
      ToProto(LogEntry{index, term, EntryKind::kData, "y"});
  return message;
}

proto::RaftMessage VoteFrom(const ReplicaId& from, Term term,
                            LogIndex last_index, Term last_term) {
  proto::RaftMessage message = From(from, term);
  message.mutable_vote()->set_last_index(last_index);
  message.mutable_vote()->set_last_term(last_term);
  return message;
}

}  // namespace

TEST_GROUP(RaftRules) {
  Time now{Seconds(10)};
  std::unique_ptr<Raft> raft;

  void Start(const std::vector<Term>& terms) {
    raft =
        std::make_unique<Raft>(RaftOptions{.self = replica_a.instance,
                                           .new_storage_id = 1,
                                           .entries_kept_after_compaction = 0},
                               Stored(terms), now);
    raft->TakeOutput();
  }

  RaftOutput StepAndTake(const proto::RaftMessage& message) {
    raft->Step(message, now);
    return raft->TakeOutput();
  }

  RaftOutput Persisted(RaftOutput output) {
    if (output.batch != 0) raft->OnPersisted(output.batch, now);
    return output;
  }

  /// Lets the replica win the pre-vote, so that it becomes a candidate.
  RaftOutput BecomeCandidate() {
    now += Seconds(3);
    raft->Tick(now);
    raft->TakeOutput();
    proto::RaftMessage reply = From(replica_b, raft->term());
    reply.mutable_pre_vote_reply()->set_proposed_term(raft->term() + 1);
    reply.mutable_pre_vote_reply()->set_granted(true);
    return StepAndTake(reply);
  }

  void GrantVote(const ReplicaId& from) {
    proto::RaftMessage reply = From(from, raft->term());
    reply.mutable_vote_reply()->set_granted(true);
    raft->Step(reply, now);
  }

  void BecomeLeader() {
    Persisted(BecomeCandidate());
    GrantVote(replica_b);
    CHECK(raft->role() == RaftRole::kLeader);
    Persisted(raft->TakeOutput());
  }

  void Match(const ReplicaId& from, LogIndex index) {
    proto::RaftMessage reply = From(from, raft->term());
    reply.mutable_append_reply()->set_success(true);
    reply.mutable_append_reply()->set_match_index(index);
    raft->Step(reply, now);
  }
};

// Guards against committing an entry of an earlier term because a quorum has
// it: a leader with a newer term in its log can still overwrite it.
TEST(RaftRules, EntryOfEarlierTermCommitsOnlyWithOneOfTheCurrentTerm) {
  Start({2});
  BecomeLeader();
  Match(replica_b, 2);
  LONGS_EQUAL(0, raft->commit_index());
  Match(replica_b, 3);
  LONGS_EQUAL(3, raft->commit_index());
}

TEST(RaftRules, VoteForItselfCountsOnceItIsDurable) {
  Start({});
  const RaftOutput output = BecomeCandidate();
  CHECK(raft->role() == RaftRole::kCandidate);
  CHECK(output.must_sync);
  CHECK(output.messages.empty());
  GrantVote(replica_b);
  CHECK(raft->role() == RaftRole::kCandidate);
  raft->OnPersisted(output.batch, now);
  CHECK(raft->role() == RaftRole::kLeader);
}

TEST(RaftRules, VoteIsSyncedAndGrantedToOneCandidatePerTerm) {
  Start({2});
  // Raises the term without a vote, as the log of `b` is behind.
  Persisted(StepAndTake(VoteFrom(replica_b, 5, 1, 1)));
  const RaftOutput granted =
      Persisted(StepAndTake(VoteFrom(replica_c, 5, 2, 2)));
  CHECK(granted.must_sync);
  CHECK(granted.hard_state->vote == replica_c);
  CHECK(granted.messages_after_sync.at(0).vote_reply().granted());
  const RaftOutput second =
      Persisted(StepAndTake(VoteFrom(replica_b, 5, 9, 4)));
  CHECK(!second.messages_after_sync.at(0).vote_reply().granted());
  const RaftOutput repeated =
      Persisted(StepAndTake(VoteFrom(replica_c, 5, 2, 2)));
  CHECK(repeated.messages_after_sync.at(0).vote_reply().granted());
}

// Guards against a replica that returns from a partition and deposes the
// leader.
TEST(RaftRules, VotesAreRefusedWhileTheLeaderIsAlive) {
  Start({});
  Persisted(StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1)));
  now += Milliseconds(900);
  raft->Step(VoteFrom(replica_c, 9, 9, 8), now);
  LONGS_EQUAL(2, raft->term());
  proto::RaftMessage request = From(replica_c, 2);
  request.mutable_pre_vote()->set_proposed_term(3);
  request.mutable_pre_vote()->set_last_index(9);
  request.mutable_pre_vote()->set_last_term(2);
  const RaftOutput refused = Persisted(StepAndTake(request));
  CHECK(!refused.messages_after_sync.at(0).pre_vote_reply().granted());
  LONGS_EQUAL(2, raft->counters().leader_alive);
  now += Milliseconds(200);
  const RaftOutput granted = Persisted(StepAndTake(request));
  CHECK(granted.messages_after_sync.at(0).pre_vote_reply().granted());
}

// Guards against counting an entry as durable because the entry that it
// replaced at the same index was.
TEST(RaftRules, BatchBeforeATruncationMakesNoLaterEntryDurable) {
  Start({});
  const RaftOutput first = StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1));
  const RaftOutput second = StepAndTake(AppendFrom(replica_c, 3, 2, 1, 2));
  LONGS_EQUAL(2, second.truncate_from);
  LONGS_EQUAL(2, raft->commit_index());
  raft->OnPersisted(first.batch, now);
  CHECK(raft->TakeOutput().committed.empty());
  raft->OnPersisted(second.batch, now);
  const RaftOutput output = raft->TakeOutput();
  LONGS_EQUAL(1, output.committed.size());
  LONGS_EQUAL(3, output.committed[0].term);
}

// Guards against a replica that applies an entry which was never committed: a
// crash within a batch had kept its commit index, and the entry that the batch
// replaces.
TEST(RaftRules, ACrashWithinABatchKeepsNoCommitIndexOfReplacedEntries) {
  StoredState stored = Stored({2, 2});
  Start({2, 2});
  const RaftOutput batch = StepAndTake(AppendFrom(replica_c, 3, 2, 1, 2));
  LONGS_EQUAL(2, batch.truncate_from);
  LONGS_EQUAL(2, raft->commit_index());
  stored.hard_state = *batch.hard_state;
  raft = std::make_unique<Raft>(RaftOptions{.self = replica_a.instance}, stored,
                                now);
  LONGS_EQUAL(1, raft->TakeOutput().committed.size());
  LONGS_EQUAL(1, raft->commit_index());
}

// The same with a snapshot that replaces the log.
TEST(RaftRules, ACrashWithinABatchKeepsNoCommitIndexOfASnapshot) {
  StoredState stored = Stored({2, 2, 2});
  Start({2, 2, 2});
  proto::RaftMessage message = From(replica_c, 3);
  auto* chunk = message.mutable_snapshot_chunk();
  chunk->set_index(3);
  chunk->set_term(3);
  *chunk->mutable_configuration() = ToProto(ThreeVoters());
  chunk->set_checksum(XXH3_64bits("", 0));
  const RaftOutput batch = StepAndTake(message);
  CHECK(batch.snapshot_replaces_log);
  stored.hard_state = *batch.hard_state;
  raft = std::make_unique<Raft>(RaftOptions{.self = replica_a.instance}, stored,
                                now);
  CHECK(raft->TakeOutput().committed.empty());
  LONGS_EQUAL(0, raft->commit_index());
}

// Over links that lose packets, a replica with an empty disk took seconds to
// get a large configuration. An earlier build can't read it compressed.
TEST(RaftRules, ASnapshotIsCompressedForAReplicaThatTakesIt) {
  for (const bool takes_compressed : {true, false}) {
    Start({});
    BecomeLeader();
    Match(replica_b, 2);
    proto::RaftMessage refusal = From(replica_c, raft->term());
    refusal.mutable_append_reply()->set_refused_index(1);
    refusal.mutable_append_reply()->set_takes_compressed(takes_compressed);
    Persisted(StepAndTake(refusal));
    CHECK(raft->Compact(2, std::string(100'000, 'x')));
    proto::RaftSnapshotChunk chunk;
    for (const proto::RaftMessage& message : raft->TakeOutput().messages) {
      if (message.has_snapshot_chunk()) chunk = message.snapshot_chunk();
    }
    LONGS_EQUAL(takes_compressed ? 100'000 : 0, chunk.decompressed_size());
    CHECK((chunk.total_size() < 1000) == takes_compressed);
  }
}

// Guards against acknowledging entries of an earlier batch before it is
// durable.
TEST(RaftRules, ReplyToADuplicateAppendWaitsForTheEarlierBatch) {
  Start({});
  const RaftOutput first = StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1));
  const RaftOutput repeated = StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1));
  CHECK(repeated.messages.empty());
  LONGS_EQUAL(1, repeated.messages_after_sync.size());
  CHECK(repeated.batch > first.batch);
}

// Guards against memory use that grows with each heartbeat while a disk is
// full.
TEST(RaftRules, RepliesDoNotAccumulateWhileTheDiskDoesNotWrite) {
  Start({});
  const RaftOutput first = StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1));
  std::size_t batches = 0;
  for (int i = 0; i < 1000; ++i) {
    const RaftOutput output = StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1));
    if (output.batch != 0) ++batches;
    CHECK(output.messages.empty());
  }
  CHECK(batches < 100);
  raft->OnPersistFailed(now);
  const RaftOutput failed = StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1));
  LONGS_EQUAL(0, failed.batch);
  CHECK(failed.messages_after_sync.empty());
  raft->OnPersisted(first.batch + batches, now);
  const RaftOutput good = StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1));
  LONGS_EQUAL(1, good.messages_after_sync.size());
}

TEST(RaftRules, AppendFromASecondLeaderOfTheTermIsRejected) {
  Start({});
  Persisted(StepAndTake(AppendFrom(replica_b, 2, 2, 1, 1)));
  Persisted(StepAndTake(AppendFrom(replica_c, 2, 3, 2, 1)));
  LONGS_EQUAL(1, raft->counters().unsafe);
  LONGS_EQUAL(2, raft->last_index());
}

TEST(RaftRules, CommittedEntriesAreNotOverwritten) {
  Start({});
  Persisted(StepAndTake(AppendFrom(replica_b, 2, 2, 1, 2)));
  LONGS_EQUAL(2, raft->commit_index());
  Persisted(StepAndTake(AppendFrom(replica_c, 3, 2, 1, 2)));
  LONGS_EQUAL(1, raft->counters().unsafe);
  LONGS_EQUAL(2, *raft->TermAt(2));
}

// Entries below the base index are not compared; the one at it must be.
TEST(RaftRules, AppendThatConflictsWithACompactedEntryIsRejected) {
  Start({2});
  Persisted(StepAndTake(AppendFrom(replica_b, 3, 3, 2, 3)));
  raft->TakeOutput();
  CHECK(raft->Compact(3, "state"));
  LONGS_EQUAL(4, raft->first_kept_index());
  proto::RaftMessage message = From(replica_b, 3);
  message.mutable_append()->set_previous_index(2);
  message.mutable_append()->set_previous_term(1);
  for (const LogIndex index : {3, 4}) {
    *message.mutable_append()->add_entries() =
        ToProto(LogEntry{index, 1, EntryKind::kData, "z"});
  }
  raft->Step(message, now);
  LONGS_EQUAL(1, raft->counters().unsafe);
  LONGS_EQUAL(3, raft->last_index());
}

TEST(RaftRules, MembershipChangeIsRefusedUntilThePreviousOneIsCommitted) {
  using Refusal = ProposeResult::Refusal;
  Start({});
  BecomeLeader();
  const ReplicaId learner{InstanceId("d"), 1};
  // No entry of this term is committed yet.
  CHECK(raft->AddLearner(learner, now).refusal ==
        Refusal::kConfigurationPending);
  Match(replica_b, 2);
  CHECK(raft->AddLearner(learner, now).accepted());
  CHECK(raft->Remove(replica_c, now).refusal == Refusal::kConfigurationPending);
  CHECK(raft->Promote(learner, now).refusal == Refusal::kInvalid);
  Persisted(raft->TakeOutput());
  Match(replica_b, 3);
  CHECK(raft->Remove(replica_c, now).accepted());
}

// Guards against the loss of entries when another voter is lost right after the
// replacement: the new voter must have a complete copy of the log.
TEST(RaftRules, LostVoterIsRemovedOnceItsReplacementStoredItsPromotion) {
  Start({});
  BecomeLeader();
  Match(replica_b, 2);
  const ReplicaId fresh{InstanceId("d"), 1};
  CHECK(raft->ReplaceVoter(replica_c, fresh, now).accepted());
  Persisted(raft->TakeOutput());
  Match(replica_b, 3);
  CHECK(!raft->configuration().IsVoter(fresh));
  Match(fresh, 3);
  CHECK(raft->configuration().IsVoter(fresh));
  Persisted(raft->TakeOutput());
  Match(replica_b, 4);
  Match(replica_c, 4);
  LONGS_EQUAL(4, raft->commit_index());
  raft->Tick(now);
  CHECK(raft->configuration().IsVoter(replica_c));
  Match(fresh, 4);
  CHECK(!raft->configuration().IsMember(replica_c));
  CHECK(!raft->configuration().replacement.has_value());
}

TEST(RaftRules, QuorumIsAMajorityOfTheVoters) {
  RaftConfiguration configuration;
  const std::size_t quorums[] = {1, 2, 2, 3, 3, 4, 4};
  for (const std::size_t quorum : quorums) {
    configuration.voters.insert(
        {InstanceId("v"), configuration.voters.size() + 1});
    LONGS_EQUAL(quorum, configuration.Quorum());
  }
}

// Guards against a group that never bootstraps because a crash during the
// bootstrap left its term without its configuration. A later term or a vote
// proves that the log was lost, and prevents a second group.
TEST(RaftRules, BootstrapIsRepeatedIfOnlyItsTermIsOnTheDisk) {
  const auto bootstraps = [](Term term, const ReplicaId& vote) {
    StoredState stored;
    stored.hard_state = {.term = term, .vote = vote, .storage = 1};
    Raft raft({.self = replica_a.instance,
               .initial_voters = {replica_a.instance, replica_b.instance,
                                  replica_c.instance}},
              stored, Time{});
    for (const ReplicaId& other : {replica_b, replica_c}) {
      proto::RaftMessage message = From(other, 0);
      auto* reply = message.mutable_hello_reply();
      for (const char* name : {"a", "b", "c"}) reply->add_founders(name);
      raft.Step(message, Time{});
    }
    return !raft.TakeOutput().entries.empty();
  };
  CHECK(bootstraps(1, {}));
  CHECK(!bootstraps(1, replica_b));
  CHECK(!bootstraps(2, {}));
}
