// What a control instance sends to the entry instances that follow it: an
// Update in answer to each Follow, Changes in between, and the placements of
// other entry instances.
//
// The traffic doesn't grow with the rate of changes or the size of the
// configuration: changes of one batch period are sent together, a document is
// fetched by its receiver, and the data on its way to one entry instance is
// bounded. One Update answers all that a follower has sent since the last one,
// so that a control instance which falls behind has less to send.
#ifndef MAIN_NODE_FOLLOWER_UPDATES_H_
#define MAIN_NODE_FOLLOWER_UPDATES_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "main/node/configuration_log.h"
#include "main/node/load_messages.h"
#include "main/node/node_link.h"
#include "main/node/node_settings.h"
#include "main/node/permit_service.h"
#include "main/node/quota_service.h"
#include "main/node/stage_orders.h"
#include "proto/gen/node.pb.h"
#include "servers/control/endpoint_registry.h"
#include "servers/control/newest_version.h"
#include "servers/control/send_window.h"
#include "servers/loads/shared_loads.h"
#include "servers/relay/relay_directory.h"

namespace cassiausher {

/// The state that updates report; owned by the control node.
struct ControlState {
  const NodeSettings* settings = nullptr;
  std::uint64_t incarnation = 0;
  const EndpointRegistry* registry = nullptr;
  const StageOrders* stage_orders = nullptr;
  const PermitService* permits = nullptr;
  QuotaService* quotas = nullptr;
  const ConfigurationLog* log = nullptr;
  const NewestVersion* newest = nullptr;
};

/// Used on the control node's task only. A follower here is an entry instance
/// that sends Follow, not a Raft follower.
class FollowerUpdates {
 public:
  FollowerUpdates(ControlState state, Metrics& metrics, NodeLink* link)
      : state_(state),
        link_(link),
        withheld_(metrics.counter("follower_messages_withheld_total")) {}

  /// An Update answers it with the next batch. `incarnation` is that of the
  /// sending process.
  void OnFollow(const InstanceId& from, Incarnation incarnation,
                const proto::Follow& follow, Time now);
  void OnPlacements(const InstanceId& from,
                    const proto::Placements& placements);

  /// The registry or the configuration has changed, or a stage order was sent.
  /// Changes are sent at once, or with those of the batch period.
  void OnChange(Time now);
  /// An endpoint has named a rate limit that it hadn't named before.
  void OnRateLimitAppeared(Time now);
  /// Sends what has gathered. `controls` are the control instances to name.
  /// Call every kBatchPeriod.
  void SendBatches(const std::vector<InstanceId>& controls, Time now);
  /// The registry has the records of another control instance, or there is no
  /// other to get them from.
  void OnRegistryComplete() { registry_complete_ = true; }
  /// This instance knows all departures that were acknowledged before it
  /// started. Until then it tells followers of no endpoint that is ready: a
  /// delayed heartbeat may have named one that has left.
  void OnDeparturesKnown(Time now);
  /// Drops followers that haven't sent Follow for a while.
  void Expire(Time now);

  /// Work of all followers.
  const EndpointLoads& Loads() const { return loads_.Total(); }

  /// Shortest time between two batches of changes, and of placements.
  static constexpr Duration kBatchPeriod = Milliseconds(25);

 private:
  /// An entry instance and the state that it last reported.
  struct Follower {
    Time heard_at{};
    Incarnation incarnation{0};
    Revision configuration{0};
    bool fetches_configuration = false;
    std::uint64_t registry_revision = 0;
    std::uint64_t follow_number = 0;
    bool wants_placements = false;
    /// Its last Follow isn't answered.
    bool awaits_update = false;
    SendWindow window{SendWindowOptions{}};
  };

  void SendPlacements(Time now);
  void Answer(const InstanceId& to, Follower& follower,
              const std::vector<InstanceId>& controls, Time now);
  proto::Update MakeUpdate(const InstanceId& to, const Follower& follower,
                           Time now) const;
  void SendUpdate(const InstanceId& to, Follower& follower,
                  proto::Update update, Time now);
  void WriteHelpers(const InstanceId& to, Time now,
                    proto::Update* update) const;
  /// Records changed after `revision` that followers may be told of.
  std::vector<EndpointRecord> TellableSince(std::uint64_t revision) const;
  void SetNotice(Time now, proto::ConfigurationNotice* notice) const;
  /// A follower of an earlier build, which doesn't know Changes, gets an Update
  /// without the document.
  void SendChanges(Time now);
  void SendChangesIfDue(Time now);

  ControlState state_;
  NodeLink* link_;
  /// Messages that weren't sent because the follower has yet to acknowledge
  /// earlier ones.
  Counter& withheld_;
  std::map<InstanceId, Follower> followers_;
  SharedLoads loads_{SharedLoadsOptions{.min_batch_period = kBatchPeriod}};
  RelayDirectory relays_{RelayDirectoryOptions{}};
  /// Something has changed since the last Changes.
  bool changed_ = false;
  /// A rate limit has appeared since the last Changes.
  bool limit_appeared_ = false;
  /// Revision of the registry that the last Changes covered.
  std::uint64_t sent_revision_ = 0;
  Time changes_sent_at_{};
  bool registry_complete_ = false;
  bool departures_known_ = false;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_FOLLOWER_UPDATES_H_
