// The side of an entry instance that needs help: notices which services it no
// longer reaches, tries from time to time whether it does again, and tells and
// asks control instances.
#ifndef MAIN_NODE_RELAY_CLIENT_H_
#define MAIN_NODE_RELAY_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "core/metrics.h"
#include "core/random.h"
#include "core/time.h"
#include "drivers/http_client.h"
#include "proto/gen/node.pb.h"
#include "servers/entry/relay_planner.h"

namespace cassiausher {

/// Used on the entry node's task only; `pool` and `client` must outlive it.
class RelayClient {
 public:
  RelayClient(std::uint64_t random_seed, const EndpointPool* pool,
              HttpClient* client, Metrics& metrics);
  ~RelayClient();

  RelayPlanner* planner() { return &planner_; }

  /// A connection to the endpoint that was begun at `began` was established.
  void OnConnected(const EndpointRecord& endpoint, Time began, Time now);
  void OnUnreachable(const EndpointRecord& endpoint, Time now);

  /// The helpers that a control instance names.
  void OnUpdate(const InstanceId& from, const proto::Update& update, Time now);
  /// Adds what this instance doesn't reach.
  void WriteReach(proto::Follow* follow) const;
  /// Whether control instances should be told at once of a change. Clears it.
  bool TakeChanged() { return std::exchange(changed_, false); }

  /// Counts the end of a relayed request and tells the planner.
  void OnEnd(const std::string& helper, RelayEnd end, bool answered, Time now);

  /// A helper has served a request by this configuration.
  void OnHelperConfiguration(Revision version, Time now);
  /// Whether callers of this instance were served by a configuration newer than
  /// `version` lately, so that they mustn't be served by that one again.
  bool HasShownNewer(Revision version, Time now) const;

  /// Tries connections that are due.
  void Tick(Time now);

 private:
  struct Trial;

  void LogReach(const EndpointRecord& endpoint, Reach before, Time now);

  const EndpointPool* pool_;
  HttpClient* client_;
  Metrics& metrics_;
  Gauge& out_of_reach_;
  RelayPlanner planner_;
  Random random_;
  bool changed_ = false;
  /// The newest configuration that a helper has applied, and since when.
  Revision shown_configuration_{0};
  Time shown_at_{};
  /// The last trial of each service that is out of reach.
  std::map<ServiceId, std::unique_ptr<Trial>> trials_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_RELAY_CLIENT_H_
