#include "drivers/connection_limiter.h"

#include <gio/gio.h>

#include <algorithm>

namespace cassiausher {

bool ConnectionLimiter::OnOpened(ClientConnection* connection) {
  places_[connection] = connections_.insert(connections_.end(), connection);
  Learn(g_socket_get_fd(connection->socket()));
  if (connections_.size() <= max_connections_) return true;
  EndLongestIdle();
  return false;
}

void ConnectionLimiter::OnAnswered(ClientConnection* connection) {
  const auto found = places_.find(connection);
  if (found == places_.end()) return;
  connections_.splice(connections_.end(), connections_, found->second);
}

void ConnectionLimiter::OnClosed(ClientConnection* connection) {
  const auto found = places_.find(connection);
  if (found != places_.end()) Forget(found->second);
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
      [](const ClientConnection* connection) { return connection->IsIdle(); });
  if (idle == connections_.end()) return false;
  if (options_.metrics != nullptr) {
    options_.metrics->counter("idle_connections_ended_total").Add();
  }
  (*idle)->EndInput();
  Forget(idle);
  return true;
}

void ConnectionLimiter::Forget(Connections::iterator connection) {
  places_.erase(*connection);
  connections_.erase(connection);
}

}  // namespace cassiausher
