// Quotas of client accounts at a control instance: while this instance issues
// permits, it issues quotas too.
#ifndef MAIN_NODE_QUOTA_SERVICE_H_
#define MAIN_NODE_QUOTA_SERVICE_H_

#include <cstdint>
#include <vector>

#include "core/metrics.h"
#include "core/time.h"
#include "main/node/node_link.h"
#include "main/node/permit_service.h"
#include "proto/gen/node.pb.h"
#include "servers/control/quota_issuer.h"
#include "servers/control/serving_configuration.h"

namespace cassiausher {

/// Used on the control node's task only; the arguments must outlive it.
class QuotaService {
 public:
  QuotaService(const QuotaTolerance& tolerance, const PermitService* permits,
               Metrics& metrics, NodeLink* link);

  void SetConfiguration(const ServingConfiguration& configuration);

  // Messages of entry instances.
  void OnFollow(const InstanceId& from, Time now);
  void OnReport(const InstanceId& from, const proto::QuotaReport& report,
                Time now);
  void OnAsk(const InstanceId& from, const proto::QuotaAsk& ask, Time now);

  /// Notices the begin and end of a term. Returns whether followers must be
  /// told of an account that was closed or opened. Call after each message.
  bool Tick(Time now);
  void WriteStates(const InstanceId& to, Time now, proto::Update* update);
  /// Writes the accounts that were closed or opened since the last call.
  void WriteChanged(proto::Changes* changes);
  /// Forgets entry instances that are gone.
  void Expire(Time now);

 private:
  QuotaTolerance tolerance_;
  const PermitService* permits_;
  NodeLink* link_;
  Counter& asked_;
  Counter& refused_;
  Gauge& accounts_needing_grants_;
  QuotaIssuer issuer_;
  bool has_quotas_ = false;
  /// The last term in which this instance was the issuer.
  std::uint64_t term_ = 0;
  bool issues_ = false;
  std::vector<QuotaState> changed_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_QUOTA_SERVICE_H_
