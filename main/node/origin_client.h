// Origins of streams at an entry instance: stored at control instances before
// the first event is passed on, and found there when a caller takes a stream
// up.
#ifndef MAIN_NODE_ORIGIN_CLIENT_H_
#define MAIN_NODE_ORIGIN_CLIENT_H_

#include <functional>
#include <map>
#include <optional>

#include "core/metrics.h"
#include "core/time.h"
#include "main/node/node_link.h"
#include "main/node/node_settings.h"
#include "proto/gen/node.pb.h"
#include "servers/entry/control_directory.h"
#include "servers/entry/origin_keeper.h"

namespace cassiausher {

/// Used on the entry node's task only; `link` must outlive it.
class OriginClient {
 public:
  using StoredCallback = std::function<void()>;
  using FoundCallback =
      std::function<void(const std::optional<StreamOrigin>& origin)>;

  OriginClient(const NodeSettings& settings, Metrics& metrics, NodeLink* link);

  /// Calls `callback` once the origin is kept elsewhere, or can't be for now.
  void Store(const StreamNames& names, const StreamOrigin& origin,
             StoredCallback callback, Time now);
  /// Calls `callback` with the origin; null if nobody knows the stream.
  void Find(const StreamNames& names, FoundCallback callback, Time now);

  /// Uses the control instances that are connected and keep origins.
  void SetControls(const ControlDirectory& controls, Time now);
  void OnStored(const InstanceId& from, const proto::OriginsStored& stored);
  void OnAnswer(const InstanceId& from, const proto::OriginAnswer& answer,
                Time now);
  /// Ends waits that took too long. Call at least every 25 ms.
  void Tick(Time now);

 private:
  using Callback = std::function<void(const OriginOutcome& outcome)>;

  void SendMessages(Time now);
  void DeliverOutcomes();

  NodeLink* link_;
  Counter& stored_;
  /// Streams whose first event was passed on without a confirmed copy.
  Counter& unconfirmed_;
  Counter& found_;
  Counter& unknown_;
  Gauge& kept_;
  OriginKeeper keeper_;
  std::map<OriginTicket, Callback> callbacks_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_ORIGIN_CLIENT_H_
