#include "tools/fake_endpoint/reply.h"

#include <nlohmann/json.hpp>
#include <set>

#include "tools/fake_endpoint/hangup_watcher.h"

namespace cassiausher {
namespace {

constexpr const char* kSilentKey = "cassiausher-silent";
constexpr const char* kTrackedKey = "cassiausher-known";

/// Open sockets that have carried at least one request.
std::set<GSocket*>& OpenSockets() {
  static std::set<GSocket*>& sockets = *new std::set<GSocket*>();
  return sockets;
}

void UntrackSocket(gpointer socket) {
  OpenSockets().erase(static_cast<GSocket*>(socket));
}

void TrackSocket(GSocket* socket) {
  if (g_object_get_data(G_OBJECT(socket), kTrackedKey) != nullptr) return;
  OpenSockets().insert(socket);
  g_object_set_data_full(G_OBJECT(socket), kTrackedKey, socket, &UntrackSocket);
}

}  // namespace

std::shared_ptr<Reply> Reply::Create(SoupServerMessage* message) {
  std::shared_ptr<Reply> reply(new Reply(message));
  reply->self_ = reply;
  reply->Attach();
  return reply;
}

Reply::Reply(SoupServerMessage* message)
    : message_(static_cast<SoupServerMessage*>(g_object_ref(message))) {}

Reply::~Reply() {
  StopWatching();
  if (socket_ != nullptr) g_object_unref(socket_);
  g_signal_handlers_disconnect_by_data(message_, this);
  g_object_unref(message_);
}

void Reply::Attach() {
  soup_server_message_pause(message_);
  // Either signal may come first; a stopped server emits only "disconnected".
  for (const char* signal : {"finished", "disconnected"}) {
    g_signal_connect_swapped(
        message_, signal, G_CALLBACK(+[](Reply* self) { self->OnFinished(); }),
        this);
  }
  g_signal_connect_swapped(message_, "wrote-body-data",
                           G_CALLBACK(+[](Reply* self, guint size) {
                             self->unwritten_bytes_ -= size;
                           }),
                           this);
  GSocket* socket = soup_server_message_get_socket(message_);
  if (socket == nullptr) return;
  socket_ = static_cast<GSocket*>(g_object_ref(socket));
  TrackSocket(socket_);
  // libsoup reads nothing while an answer is pending, so it doesn't notice that
  // the client closed the connection.
  watched_fd_ = g_socket_get_fd(socket_);
  HangupWatcher::Instance().Watch(watched_fd_, [this] { OnPeerClosed(); });
}

void Reply::Send(unsigned status, const std::string& json) {
  if (ended_ || finished_ || silent()) return;
  ended_ = true;
  soup_server_message_set_status(message_, status, nullptr);
  soup_server_message_set_response(message_, "application/json",
                                   SOUP_MEMORY_COPY, json.data(), json.size());
  Unpause();
}

void Reply::SendError(unsigned status, const std::string& code,
                      const std::string& message) {
  const nlohmann::json error = {
      {"error",
       {{"type", "endpoint_error"}, {"code", code}, {"message", message}}}};
  Send(status, error.dump());
}

void Reply::BeginStream() {
  if (finished_) return;
  soup_server_message_set_status(message_, SOUP_STATUS_OK, nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message_);
  soup_message_headers_set_content_type(headers, "text/event-stream", nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(message_), FALSE);
}

void Reply::Write(std::string data) {
  if (ended_ || finished_ || silent() || data.empty()) return;
  unwritten_bytes_ += static_cast<std::int64_t>(data.size());
  soup_message_body_append(soup_server_message_get_response_body(message_),
                           SOUP_MEMORY_COPY, data.data(), data.size());
  Unpause();
}

void Reply::End() {
  if (ended_ || finished_ || silent()) return;
  ended_ = true;
  soup_message_body_complete(soup_server_message_get_response_body(message_));
  Unpause();
}

bool Reply::silent() const {
  return socket_ != nullptr &&
         g_object_get_data(G_OBJECT(socket_), kSilentKey) != nullptr;
}

void Reply::SilenceOpenConnections() {
  for (GSocket* socket : OpenSockets()) {
    g_object_set_data(G_OBJECT(socket), kSilentKey, GINT_TO_POINTER(1));
  }
}

void Reply::OnFinished() {
  finished_ = true;
  StopWatching();
  const std::shared_ptr<Reply> keep_alive = std::move(self_);
  if (!ended_) ReportClosed();
}

void Reply::OnPeerClosed() {
  if (finished_) return;
  const std::shared_ptr<Reply> keep_alive = shared_from_this();
  ReportClosed();
  if (finished_ || ended_) return;
  // Completes the answer, so that libsoup detects the closed connection and
  // frees the message.
  ended_ = true;
  if (soup_server_message_get_status(message_) == 0) {
    soup_server_message_set_status(message_, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                   nullptr);
  }
  soup_message_body_complete(soup_server_message_get_response_body(message_));
  Unpause();
}

void Reply::StopWatching() {
  if (watched_fd_ < 0) return;
  HangupWatcher::Instance().Unwatch(watched_fd_);
  watched_fd_ = -1;
}

void Reply::ReportClosed() {
  const std::function<void()> on_closed = std::move(on_closed_);
  on_closed_ = nullptr;
  if (on_closed) on_closed();
}

void Reply::Unpause() { soup_server_message_unpause(message_); }

}  // namespace cassiausher
