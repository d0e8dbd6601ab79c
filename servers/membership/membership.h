// Failure detection and gossip among the instances of a deployment.
//
// Within a data centre, members probe each other directly and then indirectly
// through other members (as in SWIM); a member that answers neither is
// suspected before it is declared dead. Between data centres, the
// representative of each one probes the others; a data centre that doesn't
// answer is marked unreachable, and its members are not declared dead.
#ifndef SERVERS_MEMBERSHIP_MEMBERSHIP_H_
#define SERVERS_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "core/units.h"
#include "proto/gen/membership.pb.h"
#include "servers/membership/member_table.h"

namespace cassiausher {

/// An instance to join through. `id` is empty if only the address is known.
struct MembershipSeed {
  InstanceId id;
  std::string address;
};

struct MembershipOptions {
  InstanceId self;
  DataCentreId data_centre;
  std::string address;
  /// Must be higher than in any earlier run, e.g. the Unix time in
  /// milliseconds.
  Incarnation incarnation{1};
  /// Messages of other deployments are dropped.
  std::string deployment = "cassiausher";
  std::vector<MembershipSeed> seeds;
  MemberPayload payload;
  std::uint64_t random_seed = 1;

  Duration probe_interval = Milliseconds(500);
  /// Timeout of a direct probe, and again of the indirect probes that follow
  /// it.
  Duration acknowledgement_timeout = Milliseconds(150);
  /// Members that are asked to probe a target that didn't answer.
  std::size_t indirect_probes = 3;
  /// In each interval, a member probes the next member in random order and also
  /// this many fixed ones: its successors in the ring of members ordered by
  /// score. With random order alone, a dead member goes unprobed for 2.3 s in 1
  /// case of 100; with two fixed observers a probe starts within one interval
  /// unless both died with it.
  std::size_t ring_probes = 2;
  /// Time from suspicion to death without confirmations by other members; two
  /// confirmations shorten it to the minimum. Probe interval, two
  /// acknowledgement timeouts and this add up to 1.8 s, below the detection
  /// target of 2 s.
  Duration suspicion_maximum = Milliseconds(1000);
  Duration suspicion_minimum = Milliseconds(400);
  /// Probe and suspicion timeouts in the data centre are multiplied by 1 +
  /// health score, which is 0 while this instance is healthy.
  int health_score_maximum = 4;
  /// A call later than this after NextWakeup() means that the process was
  /// paused.
  Duration pause_threshold = Milliseconds(250);

  /// Between probes of another data centre by the representative.
  Duration cross_probe_interval = Seconds(1);
  Duration cross_acknowledgement_timeout = Milliseconds(500);
  /// A data centre that didn't answer for this long is marked unreachable.
  Duration unreachable_after = Seconds(3);
  /// Between join attempts to seeds and dead members.
  Duration reconnect_interval = Seconds(1);
  /// Between roster comparisons (anti-entropy) with other instances; shorter
  /// while comparisons return records.
  Duration sync_interval = Seconds(1);
  /// Dead and departed members are removed after this time.
  Duration reclaim_after = Seconds(600);

  /// An update is sent this many times log2(n + 1), n being the live members of
  /// the data centre.
  int retransmit_factor = 3;
  /// A received join or payload change is sent at most this many times, and
  /// roster comparisons carry it to the remaining members. With the full number
  /// a cold start of 200 members needs 85 s of the byte budget for joins alone.
  int non_urgent_retransmits_maximum = 3;
  /// Members that are sent an urgent update, such as a suspicion or death, at
  /// once.
  std::size_t urgent_fanout = 3;
  /// Limits for serialized messages: none is larger than message_bytes, and in
  /// any time t no more than burst_bytes + t * bytes_per_second are sent (token
  /// bucket). A message beyond a limit is dropped and counted.
  std::size_t message_bytes = 1200;
  std::size_t bytes_per_second = 3000;
  std::size_t burst_bytes = 24000;
  /// Part of the byte budget that gossip leaves for probes and their answers.
  std::size_t probe_reserve_bytes = 6000;

  std::size_t members_maximum = 2000;
  std::size_t name_bytes_maximum = 64;
  std::size_t payload_bytes_maximum = 256;
};

enum class MembershipEventKind {
  kJoined,
  kSuspect,
  kAlive,
  kLeft,
  kDead,
  /// The member's process restarted and has no state of its earlier run.
  kRestarted,
  kPayloadChanged,
  kDataCentreUnreachable,
  kDataCentreReachable,
};

struct MembershipEvent {
  MembershipEventKind kind = MembershipEventKind::kJoined;
  /// Empty for events about a data centre.
  InstanceId member;
  DataCentreId data_centre;
  Time at{};
};

/// A message for the transport. `to` is empty for a seed known only by address.
struct MembershipSend {
  InstanceId to;
  std::string address;
  proto::MembershipMessage message;
};

struct MembershipOutputs {
  std::vector<MembershipSend> messages;
  std::vector<MembershipEvent> events;
};

/// One line of `show members`.
struct MemberRow {
  InstanceId id;
  DataCentreId data_centre;
  std::string address;
  Incarnation incarnation{0};
  Incarnation started{0};
  MemberState state = MemberState::kAlive;
  /// When the reporting instance set `state`.
  Time since{};
  MemberPayload payload;
  /// False while this instance's data centre can't reach the member's.
  bool data_centre_reachable = true;
};

/// Monotonic counters of dropped messages, unusual events and traffic.
struct MembershipCounters {
  std::uint64_t malformed = 0;
  /// Another deployment or receiver, an own message that came back, or an
  /// acknowledgement by an instance that wasn't probed.
  std::uint64_t foreign = 0;
  std::uint64_t stale = 0;
  std::uint64_t replayed = 0;
  std::uint64_t unknown_sender = 0;
  std::uint64_t late_acknowledgements = 0;
  /// Members not added since members_maximum was reached.
  std::uint64_t over_capacity = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
  std::uint64_t budget_drops = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Not thread safe; owned by one task. Call Tick() at NextWakeup() at the
/// latest, and TakeOutputs() after each call.
class Membership {
 public:
  Membership(MembershipOptions options, Time now);

  void OnMessage(const proto::MembershipMessage& message, Time now);
  void Tick(Time now);
  Time NextWakeup() const;
  MembershipOutputs TakeOutputs();

  /// Returns false and changes nothing if the payload exceeds the size limit or
  /// contains anything but printable ASCII.
  bool SetPayload(MemberPayload payload, Time now);
  /// Announces that this instance leaves; nothing is sent or processed
  /// afterwards.
  void Leave(Time now);

  /// All known members including this one, ordered by id.
  std::vector<MemberRow> Members() const;
  /// True if this instance probes the other data centres for its own.
  bool IsRepresentative() const;
  bool Reachable(const DataCentreId& data_centre) const;
  int health_score() const { return health_score_; }
  const MembershipCounters& counters() const { return counters_; }

 private:
  using Message = proto::MembershipMessage;

  enum class ProbeKind { kDirect, kCrossDataCentre, kRelayed };
  struct Probe {
    ProbeKind kind = ProbeKind::kDirect;
    InstanceId target;
    /// When the next stage starts: indirect probes, then failure.
    Time deadline{};
    /// The direct probe failed; indirect probes were sent.
    bool indirect = false;
    /// Members asked for an indirect probe.
    std::size_t helpers = 0;
    /// A helper answered that it couldn't reach the target.
    bool nacked = false;
    /// kRelayed: the member that asked for this probe, and its own probe id.
    InstanceId requester;
    std::uint32_t requester_probe = 0;
  };
  struct Peer {
    std::uint32_t next_sequence = 0;
    /// The peer has answered since it started, so it knows this member.
    bool introduced = false;
    std::uint64_t incarnation = 0;
    std::uint32_t highest_sequence = 0;
    /// Replay window: bit n is set if highest_sequence - n was received.
    std::uint64_t window = 0;
  };
  /// Reachability of another data centre.
  struct Link {
    /// Odd while unreachable; the higher version wins.
    std::uint32_t version = 0;
    Time last_answer{};
    /// Since the last answer; selects the next member to probe.
    std::size_t unanswered_probes = 0;
  };

  // Received messages.
  /// Checks receiver, format, sender and sequence; counts what it rejects.
  bool AcceptMessage(const Message& message);
  bool IsWellFormed(const Message& message) const;
  bool IsWellFormed(const proto::MemberRecord& record) const;
  /// Rejects stale and replayed messages; updates the peer's replay window.
  bool AcceptSequence(const Message& message);
  void OnPing(const Message& message, Time now);
  void OnAck(const Message& message, Time now);
  void OnNack(const Message& message);
  void OnPingRequest(const Message& message, Time now);
  void OnJoin(const Message& message, Time now);
  void AttachMemberSample(Message* message, const Member& joiner);
  void OnSyncRequest(const Message& message, Time now);
  void OnSyncReply(const Message& message, Time now);
  void MergeLinks(const Message& message, Time now);
  void CompareRosters(const Message& message, Time now);

  // Member table.
  void Merge(const proto::MemberRecord& record,
             const DataCentreId& sender_data_centre, Time now);
  void MergeSelf(const proto::MemberRecord& record, Time now);
  void MergeSuspicion(const Member& known, const proto::MemberRecord& record,
                      Time now);
  void AddMember(const Member& incoming, Time now);
  void ReplaceMember(const Member& known, Member incoming, Time now);
  void Suspect(const InstanceId& id, const InstanceId& accuser, Time now);
  /// `state` is kDead or kLeft.
  void DeclareGone(const InstanceId& id, MemberState state, Time now);
  /// Raises the own incarnation above the given one.
  void Refute(std::uint64_t above, Time now);
  /// Queues the update about a member for gossip; an urgent one is also pushed
  /// to some members at once.
  void Announce(const InstanceId& id, bool urgent, Time now);
  Time SuspicionDeadline(const Member& member) const;

  // Timers and probes.
  void DetectPause(Time now);
  void ProbeRound(Time now);
  void ProbeDataCentres(Time now);
  void Reconnect(Time now);
  void AdvanceProbes(Time now);
  void AdvanceProbe(std::uint32_t id, Probe probe, Time now);
  void ExpireSuspicions(Time now);
  void Reclaim(Time now);
  void CheckLinks(Time now);
  std::optional<InstanceId> NextInProbeOrder();
  void StartProbe(const InstanceId& target, ProbeKind kind, Time now);

  // Sending and events.
  Message NewMessage(Message::Kind kind) const;
  proto::MemberRecord Record(const Member& member, bool full) const;
  void AttachGossip(Message* message, const InstanceId& to, Time now);
  void AttachLinks(Message* message, const InstanceId& to);
  void AttachDigests(Message* message) const;
  void SendTo(const InstanceId& to, Message message, Time now);
  void SendJoin(const MembershipSeed& seed, Time now);
  void SendWithinBudget(const InstanceId& to, const std::string& address,
                        Message message, std::size_t reserve, Time now);
  double AvailableBudget(Time now) const;
  void Report(MembershipEventKind kind, const InstanceId& id,
              const DataCentreId& data_centre, Time now);

  /// Live members of this data centre, this one too, by score.
  const std::vector<InstanceId>& LocalLiveMembers() const;
  std::vector<InstanceId> RandomLocalLiveMembers(
      std::size_t count, const std::vector<InstanceId>& excluded);
  const Member& Self() const { return *table_.Find(options_.self); }
  Duration ScaledByHealth(Duration duration) const {
    return duration * (1 + health_score_);
  }

  MembershipOptions options_;
  Random random_;
  std::uint32_t deployment_hash_;
  std::uint32_t self_hash_;

  /// All known members, this one too.
  MemberTable table_;
  bool has_left_ = false;

  std::map<InstanceId, Peer> peers_;
  std::map<std::uint32_t, Probe> probes_;
  std::uint32_t next_probe_id_ = 1;
  /// Remaining transmissions of the update about each member.
  std::map<InstanceId, int> pending_gossip_;
  /// Start of this instance's suspicion timer for each suspect of its data
  /// centre.
  std::map<InstanceId, Time> suspicions_;
  std::map<DataCentreId, Link> links_;
  bool was_representative_ = false;

  /// Members in random order, and the next one to probe.
  std::vector<InstanceId> probe_order_;
  std::size_t probe_order_position_ = 0;
  mutable std::vector<InstanceId> local_live_members_;
  mutable std::uint64_t local_live_version_ = 0;

  int health_score_ = 0;
  Time next_probe_round_;
  Time next_cross_probe_;
  Time next_reconnect_;
  Time next_reclaim_;
  Time next_sync_;

  double budget_bytes_;
  Time budget_updated_;
  MembershipOutputs outputs_;
  MembershipCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_MEMBERSHIP_MEMBERSHIP_H_
