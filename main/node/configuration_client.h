// The configuration of an entry instance: fetched from the control instances,
// decoded, and known to be current or not.
#ifndef MAIN_NODE_CONFIGURATION_CLIENT_H_
#define MAIN_NODE_CONFIGURATION_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "core/time.h"
#include "main/node/node_link.h"
#include "main/node/node_settings.h"
#include "proto/gen/node.pb.h"
#include "servers/control/serving_configuration.h"
#include "servers/entry/configuration_fetcher.h"
#include "servers/entry/configuration_freshness.h"

namespace cassiausher {

/// Used on the entry node's task only; `codec` and `link` must outlive it.
class ConfigurationClient {
 public:
  ConfigurationClient(const NodeSettings& settings,
                      const ConfigurationCodec& codec, NodeLink* link);

  // Messages of control instances.
  void OnNotice(const InstanceId& from,
                const proto::ConfigurationNotice& notice, Time now);
  void OnChunk(const InstanceId& from, const proto::ConfigurationChunk& chunk,
               Time now);
  /// A whole document, from a control instance that doesn't deliver chunks.
  void OnDocument(const proto::VersionedDocument& message);
  /// Sends the request that is due, if any.
  void SendRequest(Time now);

  /// Null before the first configuration.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  /// 0 before the first configuration.
  Revision version() const;
  const ConfigurationFreshness& freshness() const { return freshness_; }

 private:
  void Apply(Revision version, std::string_view document);

  const ConfigurationCodec& codec_;
  NodeLink* link_;
  ConfigurationFetcher fetcher_;
  ConfigurationFreshness freshness_;
  std::shared_ptr<const RouteTable> routes_;
  /// Seed of the hashes of keys.
  std::uint64_t key_seed_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_CONFIGURATION_CLIENT_H_
