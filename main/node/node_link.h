// Messages between entry and control instances. An instance is identified by
// its IP address, since there is no list of names.
#ifndef MAIN_NODE_NODE_LINK_H_
#define MAIN_NODE_NODE_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/metrics.h"
#include "core/process_sequence.h"
#include "core/time.h"
#include "drivers/peer_transport.h"
#include "main/node/node_settings.h"
#include "main/sent_bytes_by_kind.h"
#include "proto/gen/node.pb.h"

namespace cassiausher {

/// Used on one task only.
class NodeLink {
 public:
  using Handler = std::function<void(const InstanceId& from,
                                     const proto::NodeMessage& message)>;

  NodeLink(const NodeSettings& settings, std::uint64_t incarnation,
           Metrics& metrics, Handler handler);

  /// Returns an error message, empty on success.
  std::string Listen(GMainContext* context);

  /// Whether there is a connection with room for a message. Connects on the
  /// first use.
  bool CanSend(const InstanceId& to);
  /// Never blocks; the message is dropped if there is no connection. Connects
  /// on the first use.
  void Send(const InstanceId& to, proto::NodeMessage message);
  /// The same for several receivers.
  void SendToAll(const std::vector<InstanceId>& receivers,
                 proto::NodeMessage message);
  /// Drops the connection to an instance that has gone.
  void Disconnect(const InstanceId& instance);

 private:
  void ConnectIfNew(const InstanceId& to);
  void SendBytes(const InstanceId& to, std::string_view bytes);
  void OnBytes(std::string_view bytes);
  /// Whether the sender's name is one that an instance can have.
  bool IsInstance(const InstanceId& sender) const;

  const NodeSettings& settings_;
  std::uint64_t incarnation_;
  Counter& malformed_;
  Counter& stale_;
  SentBytesByKind<proto::NodeMessage> sent_by_kind_;
  Handler handler_;
  /// By sender.
  std::map<InstanceId, ProcessSequence> processes_;
  PeerTransport transport_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_NODE_LINK_H_
