// Failure detection and gossip among the instances of a deployment.
//
// Within a data centre every member probes others directly and through
// third members, and suspicion precedes a declaration of death. Across data
// centres one representative of each side probes the other; a data centre
// that doesn't answer is unreachable, its members are not declared dead.
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

/// An instance to join through. The id may be empty when only the address is
/// known.
struct MembershipSeed {
  InstanceId id;
  std::string address;
};

struct MembershipOptions {
  InstanceId self;
  DataCentreId data_centre;
  std::string address;
  /// Must be higher than in an earlier run, e.g. milliseconds since 1970.
  Incarnation incarnation{1};
  /// Messages of other deployments are dropped.
  std::string deployment = "cassiausher";
  std::vector<MembershipSeed> seeds;
  MemberPayload payload;
  std::uint64_t random_seed = 1;

  Duration probe_interval = Milliseconds(500);
  /// Time for a direct answer, and again for an indirect one.
  Duration acknowledgement_timeout = Milliseconds(150);
  std::size_t indirect_probes = 3;
  /// Members that follow this one in score order and are probed each interval
  /// besides the shuffled one. Random order alone leaves a dead member
  /// unprobed for 2.3 s once in 100; with two fixed observers a probe starts
  /// within one interval unless both died with it.
  std::size_t ring_probes = 2;
  /// Suspicion lasts this long without confirmations, and shrinks to the
  /// minimum with two. Interval, two acknowledgement timeouts and this sum to
  /// 1.8 s, below the target of 2 s.
  Duration suspicion_maximum = Milliseconds(1000);
  Duration suspicion_minimum = Milliseconds(400);
  /// Timeouts are multiplied by one plus the health score, 0 when healthy.
  int health_score_maximum = 4;
  /// A Tick this much after NextWakeup() means that the process was paused.
  Duration pause_threshold = Milliseconds(250);

  Duration cross_probe_interval = Seconds(1);
  Duration cross_acknowledgement_timeout = Milliseconds(500);
  Duration unreachable_after = Seconds(3);
  /// Between attempts to reach seeds and dead members.
  Duration reconnect_interval = Seconds(1);
  /// Between comparisons of the rosters of two instances.
  Duration sync_interval = Seconds(1);
  /// Dead and departed members are forgotten after this time.
  Duration reclaim_after = Seconds(600);

  /// An update is sent this many times log2(members + 1).
  int retransmit_factor = 3;
  /// News of a join or a payload is sent this often. The comparison of rosters
  /// carries it to the rest; with the full number a cold start of 200 members
  /// needs 85 s of the byte budget for joins alone.
  int retransmits_of_joins = 3;
  /// Members that get news of a suspicion or death at once.
  std::size_t urgent_fanout = 3;
  /// Bytes of protobuf sent: no message is larger than the first, and in any
  /// time t no more than burst + t * rate is sent. A message beyond it is
  /// dropped and counted.
  std::size_t message_bytes = 1200;
  std::size_t bytes_per_second = 3000;
  std::size_t burst_bytes = 24000;
  /// Gossip leaves this much of the budget to probes and their answers.
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
  /// The member runs again with no memory of its earlier run.
  kRestarted,
  /// The member's payload changed.
  kPayloadChanged,
  kDataCentreUnreachable,
  kDataCentreReachable,
};

struct MembershipEvent {
  MembershipEventKind kind = MembershipEventKind::kJoined;
  /// Empty for events of a data centre.
  InstanceId member;
  DataCentreId data_centre;
  Time at{};
};

/// A message for the transport. `to` is empty for a seed known by address.
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
  Time since{};
  MemberPayload payload;
  /// False while this instance's data centre can't reach the member's.
  bool data_centre_reachable = true;
};

/// Dropped and unusual input, and what was sent. Only grow.
struct MembershipCounters {
  std::uint64_t malformed = 0;
  std::uint64_t foreign = 0;
  std::uint64_t stale = 0;
  std::uint64_t replayed = 0;
  std::uint64_t unknown_sender = 0;
  std::uint64_t late_acknowledgements = 0;
  std::uint64_t over_capacity = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
  std::uint64_t budget_drops = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Not thread safe; one task owns it. Drive Tick at NextWakeup() at the
/// latest, and take the outputs after each call.
class Membership {
 public:
  Membership(MembershipOptions options, Time now);

  void OnMessage(const proto::MembershipMessage& message, Time now);
  void Tick(Time now);
  Time NextWakeup() const;
  MembershipOutputs TakeOutputs();

  /// Returns false, and changes nothing, if the pairs exceed the size limit or
  /// hold anything but printable ASCII.
  bool SetPayload(MemberPayload payload, Time now);
  /// Tells the others that this instance departs. It sends nothing later.
  void Leave(Time now);

  /// All members known, this one too, by id.
  std::vector<MemberRow> Members() const;
  bool IsRepresentative() const;
  bool Reachable(const DataCentreId& data_centre) const;
  int health_score() const { return health_score_; }
  const MembershipCounters& counters() const { return counters_; }

 private:
  using Message = proto::MembershipMessage;

  enum class ProbeKind { kDirect, kCross, kRelayed };
  struct Probe {
    ProbeKind kind = ProbeKind::kDirect;
    InstanceId target;
    /// Next step is due: indirect probes, then failure.
    Time deadline{};
    bool indirect = false;
    std::size_t helpers = 0;
    bool nacked = false;
    /// A relayed probe answers this probe of this member.
    InstanceId asker;
    std::uint32_t asker_probe = 0;
  };
  struct Peer {
    std::uint32_t next_sequence = 0;
    /// It answered since it started, so it knows this member.
    bool introduced = false;
    std::uint64_t incarnation = 0;
    std::uint32_t highest_sequence = 0;
    /// Bit n: highest_sequence - n was received.
    std::uint64_t window = 0;
  };
  struct Link {
    std::uint32_t version = 0;
    Time last_answer{};
    std::size_t attempt = 0;
  };

  // Input.
  bool Admissible(const Message& message);
  bool Wellformed(const Message& message) const;
  bool Wellformed(const proto::MemberRecord& record) const;
  bool Fresh(const Message& message);
  void OnPing(const Message& message, Time now);
  void OnAck(const Message& message, Time now);
  void OnNack(const Message& message);
  void OnPingRequest(const Message& message, Time now);
  void OnJoin(const Message& message, Time now);
  void AttachSample(Message* message, const Member& joiner);
  void OnSyncRequest(const Message& message, Time now);
  void OnSyncReply(const Message& message, Time now);
  void MergeLinks(const Message& message, Time now);
  void CompareRosters(const Message& message, Time now);

  // Members.
  void Merge(const proto::MemberRecord& record, const DataCentreId& sender_dc,
             Time now);
  void MergeSelf(const proto::MemberRecord& record, Time now);
  void MergeSuspicion(const Member& known, const proto::MemberRecord& record,
                      Time now);
  void AddMember(const Member& incoming, Time now);
  void ReplaceMember(const Member& known, Member incoming, Time now);
  void Suspect(const InstanceId& id, const InstanceId& accuser, Time now);
  void Declare(const InstanceId& id, MemberState state, Time now);
  void Refute(std::uint64_t above, Time now);
  void Announce(const InstanceId& id, bool urgent, Time now);
  Time SuspicionDeadline(const Member& member) const;

  // Time.
  void NoteTime(Time now);
  void ProbeRound(Time now);
  void CrossRound(Time now);
  void Reconnect(Time now);
  void AdvanceProbes(Time now);
  void AdvanceProbe(std::uint32_t id, Probe probe, Time now);
  void ExpireSuspicions(Time now);
  void Reclaim(Time now);
  void CheckLinks(Time now);
  std::optional<InstanceId> NextShuffled();
  void StartProbe(const InstanceId& target, ProbeKind kind, Time now);

  // Output.
  Message NewMessage(Message::Kind kind) const;
  proto::MemberRecord Record(const Member& member, bool full) const;
  void AttachGossip(Message* message, const InstanceId& to, Time now);
  void AttachLinks(Message* message, const InstanceId& to);
  void AttachDigests(Message* message) const;
  void SendTo(const InstanceId& to, Message message, Time now);
  void SendJoin(const MembershipSeed& seed, Time now);
  void Emit(const InstanceId& to, const std::string& address, Message message,
            std::size_t reserve, Time now);
  double Available(Time now) const;
  void Report(MembershipEventKind kind, const InstanceId& id,
              const DataCentreId& data_centre, Time now);

  const std::vector<InstanceId>& LiveHere() const;
  std::vector<InstanceId> RandomLive(std::size_t count,
                                     const std::vector<InstanceId>& excluded);
  const Member& Self() const { return *table_.Find(options_.self); }
  Duration Scaled(Duration duration) const {
    return duration * (1 + health_score_);
  }

  MembershipOptions options_;
  Random random_;
  std::uint32_t deployment_hash_;
  std::uint32_t self_hash_;

  /// Every member, this one too.
  MemberTable table_;
  bool left_ = false;

  std::map<InstanceId, Peer> peers_;
  std::map<std::uint32_t, Probe> probes_;
  std::uint32_t next_probe_id_ = 1;
  /// Times that the update about a member is still to be sent.
  std::map<InstanceId, int> gossip_;
  /// Suspects of this data centre by the start of this instance's timer.
  std::map<InstanceId, Time> suspicions_;
  std::map<DataCentreId, Link> links_;
  bool was_representative_ = false;

  std::vector<InstanceId> shuffled_;
  std::size_t shuffled_position_ = 0;
  mutable std::vector<InstanceId> live_here_;
  mutable std::uint64_t live_here_version_ = 0;

  int health_score_ = 0;
  Time next_round_;
  Time next_cross_;
  Time next_reconnect_;
  Time next_reclaim_;
  Time next_sync_;
  Time last_seen_;

  double budget_;
  Time budget_at_;
  MembershipOutputs outputs_;
  MembershipCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_MEMBERSHIP_MEMBERSHIP_H_
