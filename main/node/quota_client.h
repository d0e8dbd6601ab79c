// Quotas of client accounts at an entry instance: exchanges messages with the
// issuer on behalf of the holder.
#ifndef MAIN_NODE_QUOTA_CLIENT_H_
#define MAIN_NODE_QUOTA_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>

#include "core/metrics.h"
#include "core/time.h"
#include "main/node/node_link.h"
#include "proto/gen/node.pb.h"
#include "servers/entry/control_directory.h"
#include "servers/entry/quota_holder.h"

namespace cassiausher {

/// Used on the entry node's task only; `link` must outlive it.
class QuotaClient {
 public:
  using Callback = std::function<void(const QuotaOutcome& outcome)>;

  QuotaClient(std::uint64_t random_seed, Metrics& metrics, NodeLink* link);

  QuotaResult Take(const QuotaCost& cost, Time now);
  /// Calls `callback` once a request that was asked for is admitted or refused.
  void Await(QuotaTicket ticket, Callback callback, Time now);
  /// The request no longer waits.
  void Cancel(QuotaTicket ticket);
  /// The request was admitted, hasn't run and won't.
  void Return(const QuotaCost& cost, Time now);

  void SetControls(const ControlDirectory& controls, Time now);
  void OnUpdate(const InstanceId& from, const proto::Update& update, Time now);
  void OnChanges(const InstanceId& from, const proto::Changes& changes);
  void OnAnswer(const InstanceId& from, const proto::QuotaAnswer& answer,
                Time now);
  /// Sends what is due. Call at least every 25 ms.
  void Tick(Time now);

 private:
  void SendAsks(Time now);
  void SendHistory(Time now);
  void SendReport(Time now);
  void DeliverOutcomes();

  NodeLink* link_;
  Counter& refused_;
  QuotaHolder holder_;
  /// The issuer is to be sent what was admitted before it became the issuer.
  bool history_due_ = false;
  std::map<QuotaTicket, Callback> callbacks_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_QUOTA_CLIENT_H_
