#include "tools/load/silent_relay/silent_relay.h"

#include <utility>

namespace cassiausher {

/// A caller's connection and the one to the target.
struct SilentRelay::Link {
  SilentRelay* relay = nullptr;
  GSocketConnection* caller = nullptr;
  GSocketConnection* target = nullptr;
  GCancellable* cancel = g_cancellable_new();

  ~Link() {
    g_clear_object(&caller);
    g_clear_object(&target);
    g_clear_object(&cancel);
  }

  /// Forwards one direction. Each direction keeps the link alive until it ends.
  static void Forward(const std::shared_ptr<Link>& link,
                      GSocketConnection* from, GSocketConnection* to) {
    g_output_stream_splice_async(
        g_io_stream_get_output_stream(G_IO_STREAM(to)),
        g_io_stream_get_input_stream(G_IO_STREAM(from)),
        G_OUTPUT_STREAM_SPLICE_NONE, G_PRIORITY_DEFAULT, link->cancel,
        [](GObject* source, GAsyncResult* result, gpointer data) {
          const std::unique_ptr<std::shared_ptr<Link>> kept(
              static_cast<std::shared_ptr<Link>*>(data));
          const Link& ended = **kept;
          g_output_stream_splice_finish(G_OUTPUT_STREAM(source), result,
                                        nullptr);
          // A cancelled link has already been silenced or closed.
          if (g_cancellable_is_cancelled(ended.cancel)) return;
          ended.relay->Close(*kept);
        },
        new std::shared_ptr<Link>(link));
  }
};

SilentRelay::SilentRelay(std::string target) : target_(std::move(target)) {}

SilentRelay::~SilentRelay() {
  if (service_ != nullptr) {
    g_socket_service_stop(service_);
    g_object_unref(service_);
  }
  for (const auto& link : open_) g_cancellable_cancel(link->cancel);
  constexpr int kMaxIterations = 100;
  for (int i = 0;
       i < kMaxIterations && g_main_context_iteration(nullptr, FALSE); ++i) {
  }
}

std::string SilentRelay::Start(const std::string& listen) {
  GError* error = nullptr;
  GSocketConnectable* address =
      g_network_address_parse(listen.c_str(), 0, &error);
  if (address == nullptr) {
    const std::string reason = error->message;
    g_clear_error(&error);
    return reason;
  }
  GSocketAddress* local = g_inet_socket_address_new_from_string(
      g_network_address_get_hostname(G_NETWORK_ADDRESS(address)),
      g_network_address_get_port(G_NETWORK_ADDRESS(address)));
  g_object_unref(address);
  if (local == nullptr) return "address is not a numeric IP address";
  service_ = g_socket_service_new();
  GSocketAddress* bound = nullptr;
  const bool listening = g_socket_listener_add_address(
      G_SOCKET_LISTENER(service_), local, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, nullptr, &bound, &error);
  g_object_unref(local);
  if (!listening) {
    const std::string reason = error->message;
    g_clear_error(&error);
    return reason;
  }
  port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
  g_object_unref(bound);
  g_signal_connect_swapped(
      service_, "incoming",
      G_CALLBACK(+[](SilentRelay* self, GSocketConnection* caller) {
        self->Accept(caller);
        return TRUE;
      }),
      this);
  return {};
}

int SilentRelay::SilenceOpenConnections() {
  const auto count = static_cast<int>(open_.size());
  for (const auto& link : open_) g_cancellable_cancel(link->cancel);
  silenced_.splice(silenced_.end(), open_);
  return count;
}

void SilentRelay::Accept(GSocketConnection* caller) {
  GSocketClient* client = g_socket_client_new();
  g_socket_client_set_enable_proxy(client, FALSE);
  // Blocks; on loopback, connecting succeeds or fails at once.
  GSocketConnection* target = g_socket_client_connect_to_host(
      client, target_.c_str(), 0, nullptr, nullptr);
  g_object_unref(client);
  if (target == nullptr) return;
  auto link = std::make_shared<Link>();
  link->relay = this;
  link->caller = static_cast<GSocketConnection*>(g_object_ref(caller));
  link->target = target;
  Link::Forward(link, caller, target);
  Link::Forward(link, target, caller);
  open_.push_back(link);
}

void SilentRelay::Close(const std::shared_ptr<Link>& link) {
  g_cancellable_cancel(link->cancel);
  g_io_stream_close(G_IO_STREAM(link->caller), nullptr, nullptr);
  g_io_stream_close(G_IO_STREAM(link->target), nullptr, nullptr);
  open_.remove(link);
}

}  // namespace cassiausher
