#include "drivers/http_exchange.h"

#include "drivers/client_connection.h"
#include "drivers/received_body.h"

namespace cassiausher {

AnswerReceipt::AnswerReceipt(SoupServerMessage* message,
                             std::shared_ptr<HttpServerState> server)
    : message_(message), server_(std::move(server)) {
  GSocket* socket = SocketOf(message);
  if (socket != nullptr) socket_ = ShareGObject(socket);
}

bool AnswerReceipt::IsTaken() const {
  if (!socket_ || server_->stopped) return true;
  if (server_->answers.Has(message_, socket_.get())) return false;
  if (server_->answers.IsAnswering(socket_.get())) return true;
  return UnacknowledgedBytes(socket_.get()) == 0;
}

HttpExchange::HttpExchange(SoupServerMessage* message,
                           std::shared_ptr<HttpServerState> server)
    : message_(ShareGObject(message)), server_(std::move(server)) {
  server_->answers.Add(message);
  finished_handler_ = g_signal_connect_swapped(
      message, "finished",
      G_CALLBACK(+[](HttpExchange* self) { self->OnTransportFinished(); }),
      this);
}

HttpExchange::~HttpExchange() {
  if (!finished_ && server_->stopped) Finish();
  if (!finished_) {
    if (streaming_) {
      Abort();
    } else {
      Respond(500, "text/plain", "no answer\n");
    }
  }
  if (finished_handler_ != 0) {
    g_signal_handler_disconnect(message_.get(), finished_handler_);
  }
  if (wrote_handler_ != 0) {
    g_signal_handler_disconnect(message_.get(), wrote_handler_);
  }
}

std::string_view HttpExchange::method() const {
  return soup_server_message_get_method(message_.get());
}

const RequestTarget& HttpExchange::target() const {
  return BodyOf(message_.get()).target;
}

std::string_view HttpExchange::body() const {
  return BodyOf(message_.get()).bytes;
}

std::string_view HttpExchange::header(const char* name) const {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message_.get()), name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

HttpHeaders HttpExchange::headers() const {
  HttpHeaders result;
  soup_message_headers_foreach(
      soup_server_message_get_request_headers(message_.get()),
      [](const char* name, const char* value, gpointer out) {
        static_cast<HttpHeaders*>(out)->emplace_back(name, value);
      },
      &result);
  return result;
}

void HttpExchange::SetLabel(std::string_view label) {
  server_->answers.SetLabel(message_.get(), label);
}

void HttpExchange::SetAnswerHeader(const char* name, const std::string& value) {
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message_.get()), name,
      value.c_str());
}

void HttpExchange::WatchClose(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  if (watched_descriptor_ >= 0) return;
  GSocket* socket = SocketOf(message_.get());
  if (socket == nullptr || finished_) return;
  watched_descriptor_ = g_socket_get_fd(socket);
  server_->watcher->Add(watched_descriptor_, [this] {
    watched_descriptor_ = -1;
    OnCallerClosed();
  });
}

void HttpExchange::OnCallerClosed() {
  if (finished_) return;
  Finish();
  DropConnection();
  const std::function<void()> on_closed = std::move(on_closed_);
  if (on_closed) on_closed();
}

void HttpExchange::OnTransportFinished() {
  if (finished_) return;
  Finish();
  const std::function<void()> on_closed = std::move(on_closed_);
  if (on_closed) on_closed();
}

void HttpExchange::Finish() {
  finished_ = true;
  if (watched_descriptor_ < 0) return;
  server_->watcher->Remove(watched_descriptor_);
  watched_descriptor_ = -1;
}

void HttpExchange::SetHeaders(const HttpHeaders& headers) {
  SoupMessageHeaders* target =
      soup_server_message_get_response_headers(message_.get());
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(target, name.c_str(), value.c_str());
  }
  if (server_->draining) {
    soup_message_headers_replace(target, "Connection", "close");
  }
}

void HttpExchange::Respond(int status, std::string_view content_type,
                           std::string_view body, const HttpHeaders& headers) {
  if (finished_ || streaming_) return;
  SetHeaders(headers);
  soup_server_message_set_status(message_.get(), static_cast<guint>(status),
                                 nullptr);
  // soup_server_message_set_response() requires a type for a body. If
  // `content_type` is empty, `headers` may contain one.
  if (content_type.empty()) {
    soup_message_body_append(
        soup_server_message_get_response_body(message_.get()), SOUP_MEMORY_COPY,
        body.data(), body.size());
    soup_message_headers_set_content_length(
        soup_server_message_get_response_headers(message_.get()),
        static_cast<goffset>(body.size()));
  } else {
    soup_server_message_set_response(
        message_.get(), std::string(content_type).c_str(), SOUP_MEMORY_COPY,
        body.data(), body.size());
  }
  server_->answers.OnWritten(message_.get(),
                             static_cast<std::int64_t>(body.size()));
  server_->answers.OnHandedOver(message_.get());
  Finish();
  soup_server_message_unpause(message_.get());
  LimitUnsent();
}

void HttpExchange::RespondPieces(int status, std::vector<std::string> pieces,
                                 const HttpHeaders& headers) {
  if (finished_ || streaming_) return;
  SetHeaders(headers);
  soup_server_message_set_status(message_.get(), static_cast<guint>(status),
                                 nullptr);
  SoupMessageBody* body = soup_server_message_get_response_body(message_.get());
  soup_message_body_set_accumulate(body, FALSE);
  std::int64_t size = 0;
  for (std::string& piece : pieces) {
    size += static_cast<std::int64_t>(piece.size());
    auto* owned = new std::string(std::move(piece));
    const GBytesPtr bytes(g_bytes_new_with_free_func(
        owned->data(), owned->size(),
        [](gpointer data) { delete static_cast<std::string*>(data); }, owned));
    soup_message_body_append_bytes(body, bytes.get());
  }
  soup_message_headers_set_content_length(
      soup_server_message_get_response_headers(message_.get()), size);
  server_->answers.OnWritten(message_.get(), size);
  server_->answers.OnHandedOver(message_.get());
  Finish();
  soup_server_message_unpause(message_.get());
  LimitUnsent();
}

void HttpExchange::WatchSent(std::function<void()> on_sent) {
  on_sent_ = std::move(on_sent);
}

void HttpExchange::LimitUnsent() {
  const auto exceeded = [this] {
    return server_->answers.process_bytes() > server_->max_unsent_bytes ||
           (server_->memory && server_->memory->IsExceeded());
  };
  while (exceeded()) {
    if (!server_->answers.CutLargest()) return;
    if (server_->metrics == nullptr) continue;
    server_->metrics->counter("unread_answers_cut_total").Add();
  }
}

void HttpExchange::StartStream(int status, std::string_view content_type,
                               const HttpHeaders& headers) {
  if (finished_ || streaming_) return;
  streaming_ = true;
  SetHeaders(headers);
  SoupMessageHeaders* target =
      soup_server_message_get_response_headers(message_.get());
  soup_message_headers_set_encoding(target, SOUP_ENCODING_CHUNKED);
  if (!content_type.empty()) {
    soup_message_headers_replace(target, "Content-Type",
                                 std::string(content_type).c_str());
    soup_message_headers_replace(target, "Cache-Control", "no-cache");
  }
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(message_.get()), FALSE);
  soup_server_message_set_status(message_.get(), static_cast<guint>(status),
                                 nullptr);
  wrote_handler_ =
      g_signal_connect_swapped(message_.get(), "wrote-body-data",
                               G_CALLBACK(+[](HttpExchange* self, guint size) {
                                 self->unsent_bytes_ -= size;
                                 if (self->on_sent_) self->on_sent_();
                               }),
                               this);
}

void HttpExchange::Write(std::string_view bytes) {
  if (finished_ || !streaming_ || bytes.empty()) return;
  unsent_bytes_ += static_cast<std::int64_t>(bytes.size());
  server_->answers.OnWritten(message_.get(),
                             static_cast<std::int64_t>(bytes.size()));
  soup_message_body_append(
      soup_server_message_get_response_body(message_.get()), SOUP_MEMORY_COPY,
      bytes.data(), bytes.size());
  soup_server_message_unpause(message_.get());
  LimitUnsent();
}

void HttpExchange::EndStream() {
  if (finished_ || !streaming_) return;
  soup_message_body_complete(
      soup_server_message_get_response_body(message_.get()));
  server_->answers.OnHandedOver(message_.get());
  Finish();
  soup_server_message_unpause(message_.get());
}

void HttpExchange::Abort() {
  if (finished_) return;
  Finish();
  DropConnection();
}

void HttpExchange::DropConnection() {
  GSocket* socket = SocketOf(message_.get());
  if (socket == nullptr) return;
  const GObjectPtr<GSocket> held = ShareGObject(socket);
  server_->answers.OnFinished(message_.get(), true);
  server_->answers.Forget(socket);
  // First, since libsoup writes the last chunk when it gives the stream away,
  // which would make the answer look complete.
  g_socket_shutdown(held.get(), TRUE, TRUE, nullptr);
  const GObjectPtr<GIOStream> stream(
      soup_server_message_steal_connection(message_.get()));
  // The stream is released after its socket is closed, so that it doesn't
  // write to it.
  g_socket_close(held.get(), nullptr);
}

}  // namespace cassiausher
