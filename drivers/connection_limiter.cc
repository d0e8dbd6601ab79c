#include "drivers/connection_limiter.h"

#include <gio/gio.h>

#include <algorithm>
#include <utility>

#include "drivers/task.h"

namespace cassiausher {

ConnectionLimiter::ConnectionLimiter(GMainContext* context,
                                     ConnectionLimiterOptions options,
                                     IdleFunction is_idle)
    : context_(context), options_(options), is_idle_(std::move(is_idle)) {}

ConnectionLimiter::~ConnectionLimiter() {
  for (const auto& [socket, connection] : by_socket_) {
    g_object_weak_unref(G_OBJECT(socket), &OnSocketFinalized, this);
  }
  for (const auto& [message, connection] : by_message_) {
    g_object_weak_unref(G_OBJECT(message), &OnMessageFinalized, this);
  }
}

void ConnectionLimiter::OnWaiting(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) return;
  const auto found = by_socket_.find(socket);
  const bool is_new = found == by_socket_.end();
  if (is_new) {
    g_object_weak_ref(G_OBJECT(socket), &OnSocketFinalized, this);
    by_socket_[socket] =
        connections_.insert(connections_.end(), {.socket = socket});
  } else {
    connections_.splice(connections_.end(), connections_, found->second);
  }
  const auto connection = by_socket_.at(socket);
  connection->message = message;
  connection->is_kept = false;
  if (by_message_.emplace(message, connection).second) {
    g_object_weak_ref(G_OBJECT(message), &OnMessageFinalized, this);
  }
  if (!is_new) return;
  Learn(g_socket_get_fd(socket));
  if (connections_.size() > max_connections_) EndLongestIdle();
}

void ConnectionLimiter::OnAnswered(GSocket* socket) {
  const auto found = by_socket_.find(socket);
  if (found == by_socket_.end()) return;
  found->second->is_kept = true;
  connections_.splice(connections_.end(), connections_, found->second);
}

void ConnectionLimiter::Learn(int descriptor) {
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  const std::size_t count = connections_.size();
  if (options_.max_descriptor > 0 && descriptor >= options_.max_descriptor) {
    max_connections_ = count - 1;
  } else if (count < max_connections_ / 2) {
    max_connections_ = kUnlimited;
  }
}

bool ConnectionLimiter::EndLongestIdle() {
  const auto idle = std::find_if(
      connections_.begin(), connections_.end(),
      [this](const Connection& connection) { return IsIdle(connection); });
  if (idle == connections_.end()) return false;
  End(idle->socket);
  return true;
}

bool ConnectionLimiter::IsIdle(const Connection& connection) const {
  if (connection.is_kept) {
    return g_socket_get_available_bytes(connection.socket) <= 0;
  }
  return connection.message != nullptr && is_idle_(connection.message);
}

void ConnectionLimiter::End(GSocket* socket) {
  if (options_.metrics != nullptr) {
    options_.metrics->counter("idle_connections_ended_total").Add();
  }
  // libsoup would leave the descriptor open.
  ended_.push_back(ShareGObject(socket));
  if (!close_timer_) {
    close_timer_ =
        AddTimer(context_, Duration::zero(), [this] { CloseEnded(); });
  }
  const auto connection = by_socket_.at(socket);
  ForgetMessages(connection);
  g_object_weak_unref(G_OBJECT(socket), &OnSocketFinalized, this);
  by_socket_.erase(socket);
  connections_.erase(connection);
}

void ConnectionLimiter::ForgetMessages(Connections::iterator connection) {
  std::erase_if(by_message_, [&](const auto& known) {
    if (known.second != connection) return false;
    g_object_weak_unref(G_OBJECT(known.first), &OnMessageFinalized, this);
    return true;
  });
}

void ConnectionLimiter::CloseEnded() {
  close_timer_.reset();
  for (const GObjectPtr<GSocket>& socket : std::exchange(ended_, {})) {
    g_socket_close(socket.get(), nullptr);
  }
}

void ConnectionLimiter::OnSocketFinalized(gpointer self, GObject* socket) {
  auto* limiter = static_cast<ConnectionLimiter*>(self);
  const auto found =
      limiter->by_socket_.find(reinterpret_cast<GSocket*>(socket));
  const auto connection = found->second;
  limiter->ForgetMessages(connection);
  limiter->by_socket_.erase(found);
  limiter->connections_.erase(connection);
}

void ConnectionLimiter::OnMessageFinalized(gpointer self, GObject* message) {
  auto* limiter = static_cast<ConnectionLimiter*>(self);
  const auto found =
      limiter->by_message_.find(reinterpret_cast<SoupServerMessage*>(message));
  const auto connection = found->second;
  limiter->by_message_.erase(found);
  if (connection->message == reinterpret_cast<SoupServerMessage*>(message)) {
    connection->message = nullptr;
  }
}

}  // namespace cassiausher
