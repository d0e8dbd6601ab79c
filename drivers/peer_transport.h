// Messages between instances over ZeroMQ: one ROUTER socket receives, and one
// DEALER socket per peer sends. If keys are set, connections are encrypted with
// CURVE, and only the peers' public keys may connect.
#ifndef DRIVERS_PEER_TRANSPORT_H_
#define DRIVERS_PEER_TRANSPORT_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/metrics.h"

namespace cassiausher {

/// Z85-encoded CURVE keys, 40 characters each; empty for no encryption.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
};

struct PeerTransportOptions {
  std::string listen;  ///< "IP:PORT".
  CurveKeys keys;
  /// Larger messages from a peer are rejected.
  std::int64_t max_message_bytes = 16 << 20;
  /// A connection whose heartbeat isn't answered within the timeout is
  /// replaced: a middlebox may have lost its state while new connections work.
  int heartbeat_ms = 500;
  int heartbeat_timeout_ms = 1500;
  /// Limit of a connection's messages that wait to be sent, and of those that
  /// wait to be handled. Beyond it, new messages are dropped by their sender.
  int max_queued_messages = 20000;
  /// Messages to a removed peer, or queued at the end of the transport, are
  /// still sent for this long. Only the transport's destructor waits for it,
  /// once for all peers.
  int linger_ms = 200;
};

/// Belongs to the task that runs the context passed to Listen().
class PeerTransport {
 public:
  using Handler = std::function<void(std::string_view message)>;

  PeerTransport(PeerTransportOptions options, Metrics& metrics,
                Handler handler);
  /// Blocks for at most `linger_ms` while peers take the last messages.
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Returns an error text, empty on success.
  std::string Listen(GMainContext* context);

  /// Adds a peer or replaces its address and key.
  void SetPeer(const InstanceId& peer, const std::string& address,
               const std::string& public_key);
  bool HasPeer(const InstanceId& peer) const;
  void RemovePeer(const InstanceId& peer);
  /// Whether Send() would succeed now.
  bool CanSend(const InstanceId& peer);

  /// Never blocks. If the peer is unknown or not connected, or its queue is
  /// full, drops and counts the message and returns false.
  bool Send(const InstanceId& peer, std::string_view message);

 private:
  struct Peer;
  struct Sockets;
  /// Throws zmq::error_t.
  Peer Connect(const std::string& address, const std::string& public_key);
  void ReceiveMessages();
  void HandleZapRequests();

  PeerTransportOptions options_;
  Counter& received_;
  Counter& received_bytes_;
  Counter& sent_;
  Counter& sent_bytes_;
  Counter& dropped_;
  Counter& refused_keys_;
  Counter& unconnected_;
  Handler handler_;
  std::unique_ptr<Sockets> sockets_;
  std::set<std::string> allowed_keys_;
};

}  // namespace cassiausher

#endif  // DRIVERS_PEER_TRANSPORT_H_
