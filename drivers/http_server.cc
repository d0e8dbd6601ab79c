#include "drivers/http_server.h"

#include <fmt/format.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/received_body.h"
#include "drivers/task.h"

namespace cassiausher {
namespace {

// Size of a request's headers as sent: name, colon, space, value and CRLF.
std::int64_t HeaderBytes(SoupMessageHeaders* headers) {
  std::int64_t bytes = 0;
  soup_message_headers_foreach(
      headers,
      [](const char* name, const char* value, gpointer total) {
        *static_cast<std::int64_t*>(total) +=
            static_cast<std::int64_t>(std::strlen(name) + std::strlen(value)) +
            4;
      },
      &bytes);
  return bytes;
}

// g_socket_bind() clears SO_REUSEPORT on TCP sockets, so the socket is bound
// before GLib takes it over.
GSocket* BindSocket(GSocketAddress* address, bool share_port, GError** error) {
  const int descriptor = ::socket(g_socket_address_get_family(address),
                                  SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (share_port) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  }
  sockaddr_storage native{};
  if (!g_socket_address_to_native(address, &native, sizeof(native), error)) {
    close(descriptor);
    return nullptr;
  }
  const auto size =
      static_cast<socklen_t>(g_socket_address_get_native_size(address));
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&native), size) != 0) {
    const int code = errno;
    g_set_error_literal(error, G_IO_ERROR, g_io_error_from_errno(code),
                        g_strerror(code));
    close(descriptor);
    return nullptr;
  }
  return g_socket_new_from_fd(descriptor, error);
}

// Pieces of a body that are read without a break. libsoup reads up to 8 KiB at
// a time, and each chunk of a chunked body by itself.
constexpr int kPiecesBetweenBreaks = 64;

// More pieces take too much time. A sound body has some thousands.
constexpr int kMaxPieces = 64 << 10;

constexpr guint kServerError = 500;
// libsoup handles the end of a connection in this time.
constexpr Duration kIdleClosePeriod = Milliseconds(50);

}  // namespace

HttpServer::HttpServer(HttpServerOptions options, Handler handler,
                       LimitHandler limit_handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      limit_handler_(std::move(limit_handler)) {
  state_->max_unsent_bytes = options_.max_unsent_bytes;
  state_->metrics = options_.metrics;
}

HttpServer::~HttpServer() {
  state_->stopped = true;
  if (server_) soup_server_disconnect(server_.get());
}

std::string HttpServer::Listen(GMainContext* context) {
  context_ = context;
  state_->watcher = std::make_unique<CloseWatcher>(context);
  closer_ = std::make_unique<LingeringCloser>(context);
  guard_ = std::make_unique<ReadGuard>(
      context, options_.read_timeout,
      [this](SoupServerMessage* message, const ReadRefusal& refusal) {
        EndReading(message, refusal);
      });
  server_.reset(soup_server_new("server-header", "cassiausher", "raw-paths",
                                TRUE, nullptr));
  const auto handle = [](SoupServer*, SoupServerMessage* message, const char*,
                         GHashTable*, gpointer data) {
    auto* self = static_cast<HttpServer*>(data);
    soup_server_message_pause(message);
    self->handler_(std::make_shared<HttpExchange>(message, self->state_));
  };
  soup_server_add_handler(server_.get(), nullptr, handle, this, nullptr);
  g_signal_connect(server_.get(), "request-started",
                   G_CALLBACK(&HttpServer::OnRequestStarted), this);
  g_signal_connect(server_.get(), "request-finished",
                   G_CALLBACK(&HttpServer::OnRequestFinished), this);
  g_signal_connect(server_.get(), "request-aborted",
                   G_CALLBACK(&HttpServer::OnRequestAborted), this);

  GError* error = nullptr;
  const auto describe = [&error](std::string_view what) {
    const GErrorPtr owned(error);
    return std::string(what) + ": " + (owned ? owned->message : "unknown");
  };
  if (!options_.tls_certificate_file.empty()) {
    GTlsCertificate* certificate =
        g_tls_certificate_new_from_files(options_.tls_certificate_file.c_str(),
                                         options_.tls_key_file.c_str(), &error);
    if (certificate == nullptr) return describe("TLS certificate");
    soup_server_set_tls_certificate(server_.get(), certificate);
    g_object_unref(certificate);
  }

  const GObjectPtr<GSocketAddress> address(
      g_inet_socket_address_new_from_string(options_.address.c_str(),
                                            options_.port));
  if (!address) return options_.address + " is not an IP address";
  const GObjectPtr<GSocket> socket(
      BindSocket(address.get(), options_.share_port, &error));
  if (!socket) return describe("bind");
  // Connection bursts overflow GLib's default backlog of 10.
  g_socket_set_listen_backlog(socket.get(), 4096);
  if (!g_socket_listen(socket.get(), &error)) return describe("listen");
  const GObjectPtr<GSocketAddress> local(
      g_socket_get_local_address(socket.get(), &error));
  if (!local) return describe("local address");
  port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local.get()));

  const auto options = static_cast<SoupServerListenOptions>(
      options_.tls_certificate_file.empty() ? 0 : SOUP_SERVER_LISTEN_HTTPS);
  if (!soup_server_listen_socket(server_.get(), socket.get(), options,
                                 &error)) {
    return describe("listen");
  }
  return {};
}

void HttpServer::StopListening() {
  if (!server_) return;
  GSList* listeners = soup_server_get_listeners(server_.get());
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    g_socket_close(static_cast<GSocket*>(item->data), nullptr);
  }
  g_slist_free(listeners);
}

void HttpServer::BeginDrain() { state_->draining = true; }

bool HttpServer::Drained() const {
  const bool closing = closer_ != nullptr && !closer_->empty();
  return !closing && !state_->answers.HasUnsent();
}

std::vector<UnsentAnswer> HttpServer::UnsentAnswers() const {
  std::vector<UnsentAnswer> unsent = state_->answers.Unsent();
  if (closer_ == nullptr) return unsent;
  const std::vector<UnsentAnswer> closing = closer_->Unsent();
  unsent.insert(unsent.end(), closing.begin(), closing.end());
  return unsent;
}

void HttpServer::OnWroteBody(SoupServerMessage* message, gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  // A connection whose answer didn't announce its end stays open: its caller
  // may have sent another request, which is refused.
  const bool ends =
      soup_message_headers_header_contains(
          soup_server_message_get_response_headers(message), "Connection",
          "close") ||
      soup_message_headers_header_contains(
          soup_server_message_get_request_headers(message), "Connection",
          "close") ||
      soup_server_message_get_http_version(message) == SOUP_HTTP_1_0;
  if (ends) self->CloseLingering(message);
}

void HttpServer::CloseLingering(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) return;
  EndedConnection ended{.socket = ShareGObject(socket),
                        .label = state_->answers.LabelOf(message)};
  state_->answers.OnFinished(message, false);
  state_->answers.Forget(socket);
  guard_->Remove(message);
  ended.stream.reset(soup_server_message_steal_connection(message));
  closer_->Close(std::move(ended), BootTimeNow());
}

void HttpServer::OnRequestFinished(SoupServer*, SoupServerMessage* message,
                                   gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  self->guard_->Remove(message);
  self->state_->answers.OnFinished(message, false);
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) self->WatchIdle(socket);
}

void HttpServer::OnRequestAborted(SoupServer* server,
                                  SoupServerMessage* message, gpointer data) {
  // libsoup also reports an answer with status 500 as aborted.
  if (soup_server_message_get_status(message) == kServerError) {
    return OnRequestFinished(server, message, data);
  }
  auto* self = static_cast<HttpServer*>(data);
  self->guard_->Remove(message);
  self->state_->answers.OnFinished(message, true);
}

void HttpServer::WatchIdle(GSocket* socket) {
  const int descriptor = g_socket_get_fd(socket);
  if (descriptor < 0) return;
  const std::shared_ptr<GSocket> held(ShareGObject(socket));
  state_->watcher->Add(descriptor, [this, held] {
    closed_by_callers_.push_back(ShareGObject(held.get()));
    if (close_timer_) return;
    close_timer_ =
        AddTimer(context_, kIdleClosePeriod, [this] { CloseIdle(); });
  });
}

void HttpServer::CloseIdle() {
  const auto closed = std::move(closed_by_callers_);
  closed_by_callers_.clear();
  close_timer_.reset();
  for (const GObjectPtr<GSocket>& socket : closed) {
    if (state_->answers.IsAnswering(socket.get())) continue;
    g_socket_close(socket.get(), nullptr);
  }
}

void HttpServer::OnRequestStarted(SoupServer*, SoupServerMessage* message,
                                  gpointer self) {
  g_signal_connect(message, "got-headers", G_CALLBACK(&OnGotHeaders), self);
  g_signal_connect(message, "got-chunk", G_CALLBACK(&OnGotChunk), self);
  g_signal_connect(message, "got-body", G_CALLBACK(&OnGotBody), self);
  g_signal_connect(message, "wrote-body", G_CALLBACK(&OnWroteBody), self);
  // Disables Nagle's algorithm: small streamed chunks must not wait for the
  // acknowledgement of the previous one.
  GSocket* socket = soup_server_message_get_socket(message);
  auto* server = static_cast<HttpServer*>(self);
  server->guard_->Add(message);
  if (socket == nullptr) return;
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  server->state_->watcher->Remove(g_socket_get_fd(socket));
}

void HttpServer::OnGotHeaders(SoupServerMessage* message, gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  self->guard_->OnHeaders(message, BootTimeNow());
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  if (HeaderBytes(headers) > self->options_.max_header_bytes) {
    self->RefuseEarly(message, 431, "the headers are too large");
    return;
  }
  if (soup_message_headers_get_encoding(headers) ==
          SOUP_ENCODING_CONTENT_LENGTH &&
      soup_message_headers_get_content_length(headers) >
          self->options_.max_body_bytes) {
    self->RefuseEarly(message, 413, "the body is too large");
  }
}

void HttpServer::OnGotChunk(SoupServerMessage* message, GBytes* chunk,
                            gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  gsize size = 0;
  const auto* piece = static_cast<const char*>(g_bytes_get_data(chunk, &size));
  ReceivedBody& body = BodyOf(message);
  body.received += static_cast<std::int64_t>(size);
  self->guard_->OnBody(message, static_cast<std::int64_t>(size));
  if (++body.pieces % kPiecesBetweenBreaks == 0) self->YieldReading(message);
  const bool refused = soup_server_message_get_status(message) != 0;
  if (refused) return;
  if (body.received > self->options_.max_body_bytes) {
    self->RefuseEarly(message, 413, "the body is too large");
    return;
  }
  if (body.pieces > kMaxPieces) {
    self->RefuseEarly(message, 400, "the body has too many chunks");
    return;
  }
  body.bytes.append(piece, size);
  self->LimitReading();
}

void HttpServer::YieldReading(SoupServerMessage* message) {
  struct Break {
    HttpServer* server;
    GObjectPtr<SoupServerMessage> message;
  };
  soup_server_message_pause(message);
  std::erase_if(breaks_, [](const GSourcePtr& source) {
    return g_source_is_destroyed(source.get());
  });
  GSource* source = g_idle_source_new();
  g_source_set_priority(source, G_PRIORITY_DEFAULT);
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        const auto* pause = static_cast<Break*>(data);
        if (pause->server->guard_->IsRead(pause->message.get())) {
          soup_server_message_unpause(pause->message.get());
        }
        return G_SOURCE_REMOVE;
      },
      new Break{this, ShareGObject(message)},
      [](gpointer data) { delete static_cast<Break*>(data); });
  g_source_attach(source, context_);
  breaks_.emplace_back(source);
}

void HttpServer::LimitReading() {
  while (guard_->body_bytes() > options_.max_reading_bytes) {
    SoupServerMessage* largest = guard_->Largest();
    if (largest == nullptr) return;
    RefuseEarly(largest, 503, "too many requests are being read");
  }
}

void HttpServer::OnGotBody(SoupServerMessage* message, gpointer self) {
  static_cast<HttpServer*>(self)->guard_->Remove(message);
}

void HttpServer::EndReading(SoupServerMessage* message,
                            const ReadRefusal& refusal) {
  Log(LogLevel::kInfo, "request_not_read",
      {{"status", refusal.status}, {"reason", refusal.text}});
  if (options_.metrics != nullptr) {
    options_.metrics->counter("requests_not_read_total").Add();
  }
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) return;
  if (options_.tls_certificate_file.empty()) {
    const std::string body = limit_handler_(refusal.status, refusal.text);
    const std::string answer = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
        "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
        refusal.status,
        soup_status_get_phrase(static_cast<guint>(refusal.status)), body.size(),
        body);
    // The socket has room: nothing was sent for this request.
    g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
  }
  CloseLingering(message);
}

void HttpServer::RefuseEarly(SoupServerMessage* message, int status,
                             std::string_view text) {
  const std::string body = limit_handler_(status, text);
  BodyOf(message).bytes = {};
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Connection", "close");
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, body.data(), body.size());
  guard_->OnRefused(message, {.status = status, .text = std::string(text)});
}

}  // namespace cassiausher
