#include "main/node/node_link.h"

#include <gio/gio.h>

#include <utility>

#include "core/log.h"
#include "drivers/clock.h"

namespace cassiausher {
namespace {

// Two heartbeats fit into the time within which the platform expects instances
// to reconnect.
constexpr int kHeartbeatMs = 1000;
constexpr int kHeartbeatTimeoutMs = 1500;
// Messages are state that the next one replaces, or are sent again, so that
// more of them only delay what is new.
constexpr int kMaxQueuedMessages = 100;

}  // namespace

NodeLink::NodeLink(const NodeSettings& settings, std::uint64_t incarnation,
                   Metrics& metrics, Handler handler)
    : settings_(settings),
      incarnation_(incarnation),
      malformed_(metrics.counter("node_messages_malformed_total")),
      stale_(metrics.counter("node_messages_stale_total")),
      sent_by_kind_(metrics),
      handler_(std::move(handler)),
      transport_(
          PeerTransportOptions{
              .listen = SocketAddress{settings.ip, settings.peer_port}.text(),
              .heartbeat_ms = kHeartbeatMs,
              .heartbeat_timeout_ms = kHeartbeatTimeoutMs,
              .max_queued_messages = kMaxQueuedMessages},
          metrics, [this](std::string_view bytes) { OnBytes(bytes); }) {}

std::string NodeLink::Listen(GMainContext* context) {
  return transport_.Listen(context);
}

void NodeLink::Send(const InstanceId& to, proto::NodeMessage message) {
  SendToAll({to}, std::move(message));
}

void NodeLink::SendToAll(const std::vector<InstanceId>& receivers,
                         proto::NodeMessage message) {
  message.set_sender(settings_.ip);
  message.set_incarnation(incarnation_);
  const std::string bytes = message.SerializeAsString();
  for (const InstanceId& to : receivers) {
    sent_by_kind_.Add(message, bytes.size());
    SendBytes(to, bytes);
  }
}

bool NodeLink::CanSend(const InstanceId& to) {
  ConnectIfNew(to);
  return transport_.CanSend(to);
}

void NodeLink::ConnectIfNew(const InstanceId& to) {
  if (transport_.HasPeer(to)) return;
  const SocketAddress address{to.value(), settings_.peer_port};
  transport_.SetPeer(to, address.text(), {});
}

void NodeLink::SendBytes(const InstanceId& to, std::string_view bytes) {
  ConnectIfNew(to);
  transport_.Send(to, bytes);
}

void NodeLink::Disconnect(const InstanceId& instance) {
  transport_.RemovePeer(instance);
}

bool NodeLink::IsInstance(const InstanceId& sender) const {
  return processes_.contains(sender) ||
         g_hostname_is_ip_address(sender.value().c_str()) != FALSE;
}

void NodeLink::OnBytes(std::string_view bytes) {
  proto::NodeMessage message;
  const bool parsed =
      message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  const InstanceId from(message.sender());
  if (!parsed || !IsInstance(from)) {
    malformed_.Add();
    return;
  }
  const Incarnation process(message.incarnation());
  ProcessSequence& processes = processes_[from];
  const Incarnation before = processes.current();
  if (!processes.Accept(process, BootTimeNow())) {
    stale_.Add();
    return;
  }
  // The connection was to the process before, and would be tried again only
  // after a while.
  const bool replaced = before != Incarnation(0) && process != before;
  if (replaced) transport_.RemovePeer(from);
  handler_(from, message);
}

}  // namespace cassiausher
