// Promises of a voter, and how long an owner relies on them. The randomised
// test reaches these cases too rarely.
#include "servers/ownership/lease_votes.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "servers/ownership/ownership.h"

using namespace cassiausher;  // NOLINT

namespace {

Time At(std::int64_t milliseconds) { return Time(Milliseconds(milliseconds)); }

LeaseClaim Claim(const char* holder, std::uint64_t epoch) {
  return {.pool = {DataCentreId("north"), ServiceId("chat")},
          .holder = {InstanceId(holder), Incarnation(1)},
          .epoch = Epoch(epoch)};
}

}  // namespace

TEST_GROUP(LeaseVotes) { LeaseVotes votes{Seconds(3), Epoch(10), At(0)}; };

// Guards against a voter that restarts, has lost its promise to one holder, and
// votes for a second one while the first still relies on it.
TEST(LeaseVotes, RestartedVoterGrantsNoNewHolderForOneLease) {
  CHECK(!votes.Grant(Claim("a", 11), false, At(2999)));
  CHECK(votes.Grant(Claim("a", 11), false, At(3000)));
  LeaseVotes other(Seconds(3), Epoch(10), At(0));
  LeaseClaim renewal = Claim("a", 5);
  renewal.holding = true;
  CHECK(other.Grant(renewal, false, At(1)));
  CHECK(!other.Grant(Claim("b", 11), false, At(2)));
}

// Guards against epochs that decrease: an endpoint would accept orders of an
// owner that was replaced.
TEST(LeaseVotes, LowerEpochsAreRefused) {
  CHECK(!votes.Grant(Claim("a", 9), false, At(5000)));
  CHECK(votes.Grant(Claim("a", 20), false, At(5000)));
  CHECK(!votes.Grant(Claim("b", 19), false, At(9000)));
  CHECK(!votes.Grant(Claim("b", 20), false, At(9000)));
  LeaseClaim fenced = Claim("b", 19);
  fenced.fenced = true;
  CHECK(!votes.Grant(fenced, false, At(9000)));
  CHECK(votes.Grant(Claim("b", 21), false, At(9000)));
}

// Guards against a promise ended early by a release or claim that refers to
// another epoch.
TEST(LeaseVotes, PromiseIsExclusiveUntilItEnds) {
  CHECK(votes.Grant(Claim("a", 20), false, At(5000)));
  CHECK(!votes.Grant(Claim("b", 21), false, At(7999)));
  const LeaseHolder holder{InstanceId("a"), Incarnation(1)};
  votes.Release(Claim("a", 0).pool, holder, Epoch(19), At(6000));
  CHECK(!votes.Grant(Claim("b", 21), false, At(6001)));
  LeaseClaim successor = Claim("b", 21);
  successor.predecessor = InstanceId("a");
  successor.predecessor_epoch = Epoch(20);
  CHECK(votes.Grant(successor, false, At(6002)));
  CHECK(!votes.Grant(Claim("a", 20), true, At(6003)));
}

// Guards against claims for invented pools that use up memory.
TEST(LeaseVotes, ClaimsForInventedPoolsAreBounded) {
  int granted = 0;
  for (int i = 0; i < 20000; ++i) {
    LeaseClaim claim = Claim("a", 20);
    claim.pool.service = ServiceId(std::to_string(i));
    granted += votes.Grant(claim, false, At(5000));
  }
  LONGS_EQUAL(10000, granted);
}

TEST_GROUP(Lease) {
  Ownership ownership{{.self = InstanceId("a"),
                       .data_centre = DataCentreId("north"),
                       .voters = {InstanceId("b"), InstanceId("c")}},
                      At(0)};

  /// Ticks the instance and returns the claim that it sends to `voter`; empty
  /// if it sends none.
  proto::OwnershipMessage ClaimTo(const char* voter, Time now) {
    ownership.Tick(now);
    for (const OwnershipSend& send : ownership.TakeOutputs().messages) {
      const bool claim = send.message.kind() == proto::OwnershipMessage::CLAIM;
      if (claim && send.to == InstanceId(voter)) return send.message;
    }
    return {};
  }

  void Vote(const char* voter, const proto::OwnershipMessage& claim, Time now) {
    proto::OwnershipMessage vote;
    vote.set_kind(proto::OwnershipMessage::VOTE);
    vote.set_data_centre("north");
    vote.set_round(claim.round());
    *vote.add_pools() = claim.pools(0);
    vote.mutable_pools(0)->set_granted(true);
    ownership.OnMessage(InstanceId(voter), vote, now);
  }

  void setup() override {
    ownership.SetView({.members = {{.id = InstanceId("a"), .started = {}}}},
                      At(0));
    ownership.SetPools({{ServiceId("chat"), false}}, At(0));
  }
};

// Guards against a lease that the owner counts from when the votes arrive: the
// voters' promises could end earlier.
TEST(Lease, LeaseCountsFromSendingTheClaim) {
  const ServiceId chat("chat");
  const auto claim = ClaimTo("b", At(3000));
  LONGS_EQUAL(1, claim.pools_size());
  CHECK(!ownership.HeldEpoch(chat, At(3000)));
  Vote("b", claim, At(3150));
  CHECK(ownership.HeldEpoch(chat, At(3151)).has_value());
  CHECK(ownership.HeldEpoch(chat, At(5699)).has_value());
  CHECK(!ownership.HeldEpoch(chat, At(5700)).has_value());
}

// Guards against a majority reached with a second vote of the same instance, a
// vote of an instance that wasn't asked or one of an earlier round.
TEST(Lease, VotesCountOncePerVoterAndOnlyInTheirRound) {
  const ServiceId chat("chat");
  const auto first = ClaimTo("b", At(3000));
  const auto second = ClaimTo("b", At(3250));
  CHECK(first.round() != second.round());
  Vote("b", first, At(3260));
  Vote("x", second, At(3260));
  Vote("a", second, At(3260));
  CHECK(!ownership.HeldEpoch(chat, At(3261)).has_value());
  Vote("b", second, At(3270));
  CHECK(ownership.HeldEpoch(chat, At(3271)).has_value());
}

// Guards against a successor that gives up and releases the promises that
// replaced those to an owner whose lease still runs.
TEST(Lease, FailedHandoverReleasesNoPromises) {
  proto::OwnershipMessage prepare;
  prepare.set_kind(proto::OwnershipMessage::PREPARE);
  prepare.set_data_centre("north");
  prepare.add_pools()->set_service("chat");
  prepare.mutable_pools(0)->set_epoch(1 << 20);
  ownership.OnMessage(InstanceId("b"), prepare, At(1000));
  const auto claim = ownership.TakeOutputs().messages.at(0).message;
  STRCMP_EQUAL("b", claim.pools(0).predecessor().c_str());
  Vote("b", claim, At(1010));
  proto::OwnershipMessage refusal;
  refusal.set_kind(proto::OwnershipMessage::VOTE);
  refusal.set_data_centre("north");
  refusal.add_pools()->set_service("chat");
  refusal.mutable_pools(0)->set_epoch(1 << 30);
  refusal.mutable_pools(0)->set_holder("c");
  ownership.OnMessage(InstanceId("c"), refusal, At(1020));
  ownership.Tick(At(1020));
  for (const OwnershipSend& send : ownership.TakeOutputs().messages) {
    CHECK(send.message.kind() != proto::OwnershipMessage::RELEASE);
  }
  CHECK(!ownership.HeldEpoch(ServiceId("chat"), At(1020)).has_value());
}

// Guards against disjoint majorities of two different electorates.
TEST(Lease, ClaimUnderAnotherElectorateGetsNoVote) {
  proto::OwnershipMessage claim;
  claim.set_kind(proto::OwnershipMessage::CLAIM);
  claim.set_data_centre("north");
  claim.set_round(1);
  claim.set_electorate_hash(ownership.electorate().hash() + 1);
  claim.add_pools()->set_service("chat");
  claim.mutable_pools(0)->set_epoch(1 << 20);
  ownership.OnMessage(InstanceId("b"), claim, At(7000));
  auto vote = ownership.TakeOutputs().messages.at(0).message;
  CHECK(!vote.pools(0).granted());
  LONGS_EQUAL(3, vote.electorate_size());
  LONGS_EQUAL(1, ownership.counters().electorate_mismatches);
  claim.set_electorate_hash(ownership.electorate().hash());
  ownership.OnMessage(InstanceId("b"), claim, At(7001));
  vote = ownership.TakeOutputs().messages.at(0).message;
  CHECK(vote.pools(0).granted());
}
