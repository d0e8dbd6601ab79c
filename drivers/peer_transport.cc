#include "drivers/peer_transport.h"

#include <fmt/format.h>

#include <array>
#include <cerrno>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "core/log.h"
#include "drivers/gobject_ptr.h"

namespace cassiausher {
namespace {

constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 300;
// Limits each connection attempt. During a partition the kernel doubles the
// interval between SYN retransmissions, so a long attempt could stay
// unconnected well after the partition ends.
constexpr int kConnectTimeoutMs = 700;
constexpr int kHandshakeTimeoutMs = 1000;
// Option of a libzmq context that <zmq.h> declares for drafts only. If it is
// on, each received message holds the 18 KB buffer that it arrived in.
constexpr int kZeroCopyReceiveOption = 10;
// Maximum messages handled before the main loop serves other sources.
constexpr int kMaxReceiveBatch = 256;

// Calls `operation` again if a signal interrupted it, in which case libzmq has
// neither sent nor received anything.
template <typename Operation>
auto RetryIfInterrupted(Operation operation) {
  for (;;) {
    try {
      return operation();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) throw;
    }
  }
}

zmq::recv_result_t Receive(zmq::socket_t& socket, zmq::message_t& message,
                           zmq::recv_flags flags = zmq::recv_flags::none) {
  return RetryIfInterrupted([&] { return socket.recv(message, flags); });
}

zmq::send_result_t SendTo(zmq::socket_t& socket, zmq::const_buffer buffer,
                          zmq::send_flags flags) {
  return RetryIfInterrupted([&] { return socket.send(buffer, flags); });
}

// GLib source that is ready when a ZeroMQ socket has input. The socket's
// descriptor is edge-triggered, so readiness is read from ZMQ_EVENTS.
struct ZmqSource {
  GSource base;
  void* socket;
  std::function<void()>* callback;
};

bool HasInput(void* socket) {
  int events = 0;
  std::size_t size = sizeof(events);
  while (zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) != 0 &&
         zmq_errno() == EINTR) {
  }
  return (events & ZMQ_POLLIN) != 0;
}

gboolean PrepareZmqSource(GSource* source, gint* timeout) {
  *timeout = -1;
  return HasInput(reinterpret_cast<ZmqSource*>(source)->socket);
}

gboolean CheckZmqSource(GSource* source) {
  return HasInput(reinterpret_cast<ZmqSource*>(source)->socket);
}

gboolean DispatchZmqSource(GSource* source, GSourceFunc, gpointer) {
  (*reinterpret_cast<ZmqSource*>(source)->callback)();
  return G_SOURCE_CONTINUE;
}

void FinalizeZmqSource(GSource* source) {
  delete reinterpret_cast<ZmqSource*>(source)->callback;
}

GSourceFuncs zmq_source_functions = {
    .prepare = PrepareZmqSource,
    .check = CheckZmqSource,
    .dispatch = DispatchZmqSource,
    .finalize = FinalizeZmqSource,
    .closure_callback = nullptr,
    .closure_marshal = nullptr,
};

GSourcePtr AttachZmqSource(zmq::socket_t& socket, GMainContext* context,
                           std::function<void()> callback) {
  GSource* source = g_source_new(&zmq_source_functions, sizeof(ZmqSource));
  auto* zmq_source = reinterpret_cast<ZmqSource*>(source);
  zmq_source->socket = socket.handle();
  zmq_source->callback = new std::function<void()>(std::move(callback));
  g_source_add_unix_fd(source, socket.get(zmq::sockopt::fd), G_IO_IN);
  g_source_attach(source, context);
  return GSourcePtr(source);
}

void SetCommonOptions(const PeerTransportOptions& options,
                      zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, options.linger_ms);
  socket.set(zmq::sockopt::heartbeat_ivl, options.heartbeat_ms);
  socket.set(zmq::sockopt::heartbeat_timeout, options.heartbeat_timeout_ms);
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
  socket.set(zmq::sockopt::tcp_maxrt, options.heartbeat_timeout_ms);
  socket.set(zmq::sockopt::sndhwm, options.max_queued_messages);
  socket.set(zmq::sockopt::rcvhwm, options.max_queued_messages);
}

}  // namespace

struct PeerTransport::Peer {
  std::string address;
  std::string public_key;
  zmq::socket_t socket;
};

struct PeerTransport::Sockets {
  Sockets() { zmq_ctx_set(context.handle(), kZeroCopyReceiveOption, 0); }

  zmq::context_t context{1};
  zmq::socket_t authentication;
  zmq::socket_t inbox;
  std::map<InstanceId, Peer> peers;
  GSourcePtr authentication_source;
  GSourcePtr inbox_source;
};

PeerTransport::PeerTransport(PeerTransportOptions options, Metrics& metrics,
                             Handler handler)
    : options_(std::move(options)),
      received_(metrics.counter("peer_messages_received_total")),
      received_bytes_(metrics.counter("peer_bytes_received_total")),
      sent_(metrics.counter("peer_messages_sent_total")),
      sent_bytes_(metrics.counter("peer_bytes_sent_total")),
      dropped_(metrics.counter("peer_messages_dropped_total")),
      refused_keys_(metrics.counter("peer_keys_refused_total")),
      unconnected_(metrics.counter("peer_connections_failed_total")),
      handler_(std::move(handler)),
      sockets_(std::make_unique<Sockets>()) {}

PeerTransport::~PeerTransport() = default;

std::string PeerTransport::Listen(GMainContext* context) {
  const bool encrypted = !options_.keys.secret_key.empty();
  try {
    if (encrypted) {
      // libzmq asks this in-process address whether a client's key is allowed
      // (ZeroMQ RFC 27). It must be bound before the first connection.
      sockets_->authentication =
          zmq::socket_t(sockets_->context, zmq::socket_type::rep);
      sockets_->authentication.set(zmq::sockopt::linger, 0);
      RetryIfInterrupted(
          [&] { sockets_->authentication.bind("inproc://zeromq.zap.01"); });
      sockets_->authentication_source = AttachZmqSource(
          sockets_->authentication, context, [this] { HandleZapRequests(); });
    }
    sockets_->inbox =
        zmq::socket_t(sockets_->context, zmq::socket_type::router);
    SetCommonOptions(options_, sockets_->inbox);
    sockets_->inbox.set(zmq::sockopt::maxmsgsize, options_.max_message_bytes);
    if (encrypted) {
      sockets_->inbox.set(zmq::sockopt::curve_server, true);
      sockets_->inbox.set(zmq::sockopt::curve_secretkey,
                          options_.keys.secret_key);
      sockets_->inbox.set(zmq::sockopt::zap_domain, "cassiausher");
    }
    RetryIfInterrupted(
        [&] { sockets_->inbox.bind("tcp://" + options_.listen); });
    sockets_->inbox_source = AttachZmqSource(sockets_->inbox, context,
                                             [this] { ReceiveMessages(); });
  } catch (const zmq::error_t& error) {
    return fmt::format("peer listener {}: {}", options_.listen, error.what());
  }
  return {};
}

void PeerTransport::SetPeer(const InstanceId& peer, const std::string& address,
                            const std::string& public_key) {
  const auto found = sockets_->peers.find(peer);
  if (found != sockets_->peers.end()) {
    if (found->second.address == address &&
        found->second.public_key == public_key) {
      return;
    }
    allowed_keys_.erase(found->second.public_key);
    sockets_->peers.erase(found);
  }
  if (!public_key.empty()) allowed_keys_.insert(public_key);
  try {
    sockets_->peers.emplace(peer, Connect(address, public_key));
  } catch (const zmq::error_t& error) {
    // No descriptor is free, or the address isn't one. The peer stays unknown,
    // so that the next message to it tries again.
    unconnected_.Add();
    if (unconnected_.value() > 1) return;
    Log(LogLevel::kError, "peer_not_connected",
        {{"peer", peer.value()},
         {"address", address},
         {"error", error.what()}});
  }
}

PeerTransport::Peer PeerTransport::Connect(const std::string& address,
                                           const std::string& public_key) {
  Peer entry{
      .address = address,
      .public_key = public_key,
      .socket = zmq::socket_t(sockets_->context, zmq::socket_type::dealer)};
  SetCommonOptions(options_, entry.socket);
  // Messages to a disconnected peer are dropped, not queued: they would be
  // stale when it reconnects.
  entry.socket.set(zmq::sockopt::immediate, true);
  entry.socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  entry.socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  if (!options_.keys.secret_key.empty()) {
    entry.socket.set(zmq::sockopt::curve_serverkey, public_key);
    entry.socket.set(zmq::sockopt::curve_publickey, options_.keys.public_key);
    entry.socket.set(zmq::sockopt::curve_secretkey, options_.keys.secret_key);
  }
  RetryIfInterrupted([&] { entry.socket.connect("tcp://" + address); });
  return entry;
}

bool PeerTransport::HasPeer(const InstanceId& peer) const {
  return sockets_->peers.contains(peer);
}

void PeerTransport::RemovePeer(const InstanceId& peer) {
  const auto found = sockets_->peers.find(peer);
  if (found == sockets_->peers.end()) return;
  allowed_keys_.erase(found->second.public_key);
  sockets_->peers.erase(found);
}

bool PeerTransport::CanSend(const InstanceId& peer) {
  const auto found = sockets_->peers.find(peer);
  if (found == sockets_->peers.end()) return false;
  const int events = RetryIfInterrupted(
      [&] { return found->second.socket.get(zmq::sockopt::events); });
  return (events & ZMQ_POLLOUT) != 0;
}

bool PeerTransport::Send(const InstanceId& peer, std::string_view message) {
  const auto found = sockets_->peers.find(peer);
  if (found == sockets_->peers.end()) {
    dropped_.Add();
    return false;
  }
  const auto sent = SendTo(found->second.socket, zmq::buffer(message),
                           zmq::send_flags::dontwait);
  if (!sent.has_value()) {
    dropped_.Add();
    return false;
  }
  sent_.Add();
  sent_bytes_.Add(message.size());
  return true;
}

void PeerTransport::ReceiveMessages() {
  for (int i = 0; i < kMaxReceiveBatch; ++i) {
    zmq::message_t routing_id;
    if (!Receive(sockets_->inbox, routing_id, zmq::recv_flags::dontwait)) {
      return;
    }
    // A message has a routing id and one body frame; any other is malformed.
    zmq::message_t body;
    bool well_formed =
        routing_id.more() && Receive(sockets_->inbox, body).has_value();
    while (body.more()) {
      well_formed = false;
      if (!Receive(sockets_->inbox, body)) break;
    }
    if (!well_formed) {
      dropped_.Add();
      continue;
    }
    received_.Add();
    received_bytes_.Add(body.size());
    handler_(body.to_string_view());
  }
}

void PeerTransport::HandleZapRequests() {
  for (;;) {
    std::vector<zmq::message_t> frames;
    zmq::message_t frame;
    if (!Receive(sockets_->authentication, frame, zmq::recv_flags::dontwait)) {
      return;
    }
    bool more = frame.more();
    frames.push_back(std::move(frame));
    while (more) {
      zmq::message_t next;
      if (!Receive(sockets_->authentication, next)) break;
      more = next.more();
      frames.push_back(std::move(next));
    }
    // RFC 27: version, request id, domain, address, identity, mechanism,
    // credentials; for CURVE the credentials are the client's 32-byte key.
    constexpr std::size_t kFrames = 7;
    constexpr std::size_t kKeyBytes = 32;
    bool allowed = false;
    if (frames.size() == kFrames && frames[6].size() == kKeyBytes) {
      std::array<char, 41> text{};
      zmq_z85_encode(text.data(), frames[6].data<std::uint8_t>(), kKeyBytes);
      allowed = allowed_keys_.contains(text.data());
    }
    if (!allowed) refused_keys_.Add();
    const std::string request_id =
        frames.size() > 1 ? frames[1].to_string() : std::string();
    const std::array<std::string, 6> reply = {
        "1.0",
        request_id,
        allowed ? "200" : "400",
        allowed ? "OK" : "the key is not allowed",
        "",
        ""};
    for (std::size_t i = 0; i < reply.size(); ++i) {
      SendTo(sockets_->authentication, zmq::buffer(reply[i]),
             i + 1 < reply.size() ? zmq::send_flags::sndmore
                                  : zmq::send_flags::none);
    }
  }
}

}  // namespace cassiausher
