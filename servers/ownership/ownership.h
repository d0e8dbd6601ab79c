// Lease-based ownership of the pools of a data centre.
//
// The first live instance in rendezvous order owns a pool while it holds a
// lease, which a majority of voters renews. There are two kinds of pool:
//
// - Endpoints honour fencing: the voters are chosen among the live instances
//   in the owner's view. A new owner starts at once with a higher epoch. Under
//   a partition both sides may have an owner; endpoints obey the higher epoch.
// - Endpoints ignore fencing: the voters are chosen in the electorate, dead
//   members included, and a vote promises the pool to one holder for the
//   duration of a lease. At most one instance holds a valid lease at any time.
//
// The first OwnershipOptions::voters_maximum of them in rendezvous order vote.
//
// The bounds of the second guarantee are in docs/decisions/006-ownership.md.
#ifndef SERVERS_OWNERSHIP_OWNERSHIP_H_
#define SERVERS_OWNERSHIP_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "core/units.h"
#include "proto/gen/ownership.pb.h"
#include "servers/ownership/electorate.h"
#include "servers/ownership/lease_votes.h"

namespace cassiausher {

struct OwnershipOptions {
  InstanceId self;
  DataCentreId data_centre;
  Incarnation started{1};
  /// Lower bound of the counter in an epoch: tenths of a second since 1970.
  /// Epochs increase even over a restart of all instances, since one is raised
  /// at most once in each claim interval of 200 ms.
  std::uint64_t epoch_base = 1;
  /// Instances of this data centre named in the settings. They let an instance
  /// that starts during a partition know of the members it can't see.
  std::set<InstanceId> voters;
  /// Instance of another data centre that votes on this one's unfenced pools
  /// while the electorate has exactly two members; chosen by WitnessOf().
  /// Empty for none.
  InstanceId witness;
  std::uint64_t random_seed = 1;

  Duration lease = Seconds(3);
  /// Share of the lease during which the owner may act; the rest covers clocks
  /// that run at different speeds.
  double owner_share = 0.9;
  Duration renew_interval = Seconds(1);
  /// Between attempts to collect votes.
  Duration claim_interval = Milliseconds(200);
  /// No pool is claimed for this long after the start, so that announcements of
  /// present owners can arrive.
  Duration startup_wait = Seconds(3);
  /// A member that appears later gets pools once it has been live for this
  /// long; doubled for each further loss within flap_window, up to
  /// stable_maximum.
  Duration stable_after = Seconds(5);
  Duration stable_maximum = Seconds(60);
  Duration flap_window = Seconds(60);
  Duration handover_timeout = Seconds(1);
  /// An owner that was not heard for this long is taken to have lost its lease.
  Duration owner_silence = Seconds(6);
  /// At most this many instances vote on a pool, which limits the renewal
  /// traffic in a data centre of 67 instances.
  std::size_t voters_maximum = 5;
};

/// A pool of this data centre, from the configuration.
struct OwnedPool {
  ServiceId service;
  /// Its endpoints reject orders with an older epoch.
  bool fenced = true;
};

enum class OwnershipEventKind { kAcquired, kReleased, kOwnerChanged };

struct OwnershipEvent {
  OwnershipEventKind kind = OwnershipEventKind::kAcquired;
  PoolId pool;
  /// kAcquired, kOwnerChanged: the new owner. kReleased: this instance, which
  /// no longer owns the pool.
  InstanceId instance;
  Epoch epoch{0};
};

struct OwnershipSend {
  InstanceId to;
  proto::OwnershipMessage message;
};

struct OwnershipOutputs {
  std::vector<OwnershipSend> messages;
  std::vector<OwnershipEvent> events;
};

/// One line of `show pools`.
struct OwnershipRow {
  PoolId pool;
  InstanceId owner;
  Epoch epoch{0};
  bool fenced = true;
  bool held_here = false;
  /// Remaining lease of this instance.
  Duration lease_left{0};
  bool handing_over = false;
};

struct OwnershipCounters {
  std::uint64_t malformed = 0;
  /// Own messages that came back, and kinds that another data centre may not
  /// send.
  std::uint64_t foreign = 0;
  std::uint64_t claims_granted = 0;
  std::uint64_t claims_refused = 0;
  std::uint64_t electorate_mismatches = 0;
  /// Ends of an ownership without a completed hand-over, whatever the cause,
  /// such as an expired lease, a newer owner or a removed pool.
  std::uint64_t leases_lost = 0;
  std::uint64_t handovers = 0;
  std::uint64_t handovers_aborted = 0;
};

/// Not thread safe. Call Tick() at NextWakeup() at the latest, and
/// TakeOutputs() after each call.
class Ownership {
 public:
  Ownership(OwnershipOptions options, Time now);

  void SetPools(const std::vector<OwnedPool>& pools, Time now);
  void SetView(const OwnershipView& view, Time now);
  void OnMessage(const InstanceId& from, const proto::OwnershipMessage& message,
                 Time now);
  /// An endpoint refused an order since it has seen a higher epoch.
  void OnStaleEpoch(const ServiceId& service, Epoch seen, Time now);
  /// Starts to hand over all pools; done when HoldsNoPools() or
  /// HandoverImpossible().
  void Leave(Time now);
  void Tick(Time now);
  Time NextWakeup() const;
  OwnershipOutputs TakeOutputs();

  /// The epoch under which this instance may act on the pool now. Ask at each
  /// action: a lease may run out between two ticks.
  std::optional<Epoch> HeldEpoch(const ServiceId& service, Time now) const;
  /// True if this instance holds no valid lease.
  bool HoldsNoPools(Time now) const;
  /// True if no other instance can take a pool.
  bool HandoverImpossible() const;
  /// The owner last heard of, which gets the requests; empty if not known.
  InstanceId Owner(const ServiceId& service) const;
  std::vector<OwnershipRow> Pools(Time now) const;
  const Electorate& electorate() const { return electorate_; }
  const OwnershipCounters& counters() const { return counters_; }

 private:
  using Message = proto::OwnershipMessage;

  enum class Role {
    kNone,
    kClaiming,  ///< Collects votes for a pool without an owner.
    kOwner,
    kHandingOver,  ///< Owner that has asked a successor to collect votes.
    kReceiving,    ///< Successor that collects votes.
  };
  struct Pool {
    bool fenced = true;
    Role role = Role::kNone;
    /// Own epoch: claimed or held.
    Epoch epoch{0};
    /// kOwner, kHandingOver: the epoch it may act under. Lower than `epoch`
    /// until a majority has voted for that.
    Epoch held_epoch{0};
    Time epoch_raised_at{};
    /// Highest seen of any instance. The epoch of a claim may exceed it until
    /// the pool is owned or the claim given up.
    Epoch highest{0};
    std::uint64_t round = 0;
    Time round_sent{};
    Time next_round{};
    std::set<InstanceId> round_voters;
    std::set<InstanceId> votes;
    /// End of the own lease.
    Time valid_until{};
    /// kHandingOver: the successor. Kept after the hand-over to repeat the
    /// commit.
    InstanceId successor;
    Epoch successor_epoch{0};
    /// When the current attempt is given up: a claim, or a hand-over at its
    /// owner or its successor.
    Time attempt_deadline{};
    /// kReceiving: the owner that hands over, and when its lease has run out in
    /// any case.
    InstanceId predecessor;
    Epoch predecessor_epoch{0};
    Time predecessor_gone{};
    /// The owner last heard of.
    LeaseHolder owner;
    Epoch owner_epoch{0};
    /// Time::min() once it has released the pool.
    Time owner_last_heard{};
    /// Since when another instance is the preferred owner; Time::max() if none
    /// is.
    Time other_preferred_since{Time::max()};
  };
  struct MemberStatus {
    Incarnation started{0};
    bool live = false;
    bool leaving = false;
    Time stable_at{};
    /// Losses in a row, each within flap_window of the one before.
    int flaps = 0;
    Time last_loss{};
  };

  // Received messages.
  bool IsWellFormed(const Message& message) const;
  void OnClaim(const InstanceId& from, const Message& message, Time now);
  void OnVote(const InstanceId& from, const Message& message, Time now);
  void OnAnnounce(const InstanceId& from, const Message& message, Time now);
  void OnPrepare(const InstanceId& from, const proto::PoolItem& item, Time now);
  void OnReady(const InstanceId& from, const proto::PoolItem& item, Time now);
  void OnCommit(const InstanceId& from, const proto::PoolItem& item, Time now);
  void OnRelease(const InstanceId& from, const Message& message, Time now);
  void OnElectorate(const Message& message, Time now);

  // Leases.
  void StartRound(const ServiceId& service, Pool& pool, Time now);
  void CountVotes(const ServiceId& service, Pool& pool, Time now);
  void BecomeOwner(const ServiceId& service, Pool& pool, Time now);
  void StepDown(const ServiceId& service, Pool& pool, Time now);
  void OnOtherOwner(const ServiceId& service, Pool& pool,
                    const LeaseHolder& owner, Epoch epoch, Time now);
  void NoteOwner(const ServiceId& service, Pool& pool, const LeaseHolder& owner,
                 Epoch epoch, Time now);
  void ElectorateChanged(bool changed, Time now);

  // Timers.
  void TickPool(const ServiceId& service, Pool& pool, Time now);
  void TickOwner(const ServiceId& service, Pool& pool, Time now);
  void StartHandover(const ServiceId& service, Pool& pool,
                     const InstanceId& successor, Time now);
  void AbortHandover(Pool& pool, Time now);
  /// Claims a higher epoch while it acts under the old one.
  void RaiseEpoch(Pool& pool, Time now);
  bool OwnerGone(const Pool& pool, Time now) const;
  bool CastVote(const LeaseClaim& claim, Time now);
  Epoch KnownEpoch(const PoolId& id, bool granted) const;
  bool HolderLive(const PoolId& pool, Time now) const;

  PoolId PoolIdOf(const ServiceId& service) const {
    return {options_.data_centre, service};
  }
  Epoch NextEpoch(const Pool& pool) const;
  std::set<InstanceId> LiveMembers() const;
  std::vector<InstanceId> VotersOf(const ServiceId& service,
                                   const Pool& pool) const;
  InstanceId PreferredOwner(const ServiceId& service, Time now) const;
  bool Starting(Time now) const { return now < start_ + options_.startup_wait; }
  Message NewMessage(Message::Kind kind) const;
  void SendItem(Message::Kind kind, const InstanceId& to,
                const ServiceId& service, Epoch epoch);
  void AnnounceTo(const InstanceId& to, const ServiceId& service,
                  const Pool& pool);
  void AnnounceAll(const ServiceId& service, const Pool& pool);
  void AttachElectorate(Message* message) const;

  OwnershipOptions options_;
  Random random_;
  Time start_;
  bool leaving_ = false;
  Electorate electorate_;
  LeaseVotes votes_;
  std::map<InstanceId, MemberStatus> members_;
  std::map<ServiceId, Pool> pools_;
  std::uint64_t next_round_ = 1;
  OwnershipOutputs outputs_;
  OwnershipCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_OWNERSHIP_OWNERSHIP_H_
