#include "drivers/http_server.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/task.h"

namespace cassiausher {
namespace {

// g_socket_bind() clears SO_REUSEPORT on TCP sockets, so the socket is bound
// before GLib takes it over.
GSocket* BindSocket(GSocketAddress* address, bool share_port, GError** error) {
  const int descriptor = ::socket(g_socket_address_get_family(address),
                                  SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    const int code = errno;
    g_set_error_literal(error, G_IO_ERROR, g_io_error_from_errno(code),
                        g_strerror(code));
    return nullptr;
  }
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

// libsoup keeps a connection open for another request only while it has a
// listener. This one gets no connections: Listener accepts them.
bool AddIdleListener(SoupServer* server, GError** error) {
  const GObjectPtr<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                                G_SOCKET_TYPE_STREAM,
                                                G_SOCKET_PROTOCOL_TCP, error));
  if (!socket || !g_socket_listen(socket.get(), error)) return false;
  if (!soup_server_listen_socket(server, socket.get(),
                                 static_cast<SoupServerListenOptions>(0),
                                 error)) {
    return false;
  }
  // libsoup gives the socket up at its first attempt to accept.
  shutdown(g_socket_get_fd(socket.get()), SHUT_RDWR);
  return true;
}

constexpr guint kServerError = 500;
constexpr Duration kStallPollPeriod = Seconds(1);
constexpr Duration kExhaustedLinePeriod = Seconds(5);

}  // namespace

HttpServer::HttpServer(HttpServerOptions options, Handler handler,
                       LimitHandler limit_handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      limit_handler_(std::move(limit_handler)) {
  state_->max_unsent_bytes = options_.max_unsent_bytes;
  state_->metrics = options_.metrics;
  state_->memory = options_.memory;
  if (options_.memory) state_->answers.ChargeTo(options_.memory);
}

HttpServer::~HttpServer() {
  state_->stopped = true;
  if (server_) soup_server_disconnect(server_.get());
}

std::string HttpServer::Listen(GMainContext* context) {
  context_ = context;
  state_->watcher = std::make_unique<CloseWatcher>(context);
  closer_ = std::make_unique<LingeringCloser>(context);
  reader_ = std::make_unique<RequestReader>(
      context,
      RequestReaderOptions{
          .read_timeout = options_.read_timeout,
          .max_body_bytes = options_.max_body_bytes,
          .max_reading_bytes = options_.max_reading_bytes,
          .max_header_bytes = options_.max_header_bytes,
          .tls = !options_.tls_certificate_file.empty(),
          .metrics = options_.metrics,
          .memory = options_.memory,
          .head_timeout = options_.head_timeout,
          .min_body_bytes_per_second = options_.min_body_bytes_per_second,
          .body_grace = options_.body_grace},
      limit_handler_,
      [this](SoupServerMessage* message) { CloseLingering(message); });
  limiter_ = std::make_unique<ConnectionLimiter>(ConnectionLimiterOptions{
      .max_descriptor = options_.max_descriptor, .metrics = options_.metrics});
  server_.reset(soup_server_new("server-header", "cassiausher", nullptr));
  const auto handle = [](SoupServer*, SoupServerMessage* message, const char*,
                         GHashTable*, gpointer data) {
    auto* self = static_cast<HttpServer*>(data);
    if (!self->reader_->StartRunning(message)) return;
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
    certificate_.reset(g_tls_certificate_new_from_files(
        options_.tls_certificate_file.c_str(), options_.tls_key_file.c_str(),
        &error));
    if (!certificate_) return describe("TLS certificate");
  }

  if (!AddIdleListener(server_.get(), &error)) return describe("listener");
  GObjectPtr<GSocket> socket = OpenSocket(&error);
  if (!socket) return describe("listen");
  const GObjectPtr<GSocketAddress> local(
      g_socket_get_local_address(socket.get(), &error));
  if (!local) return describe("local address");
  port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local.get()));
  listener_ = std::make_unique<Listener>(
      context_, std::move(socket),
      Listener::Callbacks{
          .on_connection =
              [this](GObjectPtr<GSocket> accepted) {
                return OnConnection(std::move(accepted));
              },
          .on_exhausted = [this] { OnExhausted(BootTimeNow()); }});
  if (options_.min_answer_bytes > 0) {
    stall_timer_ = AddTimer(context_, kStallPollPeriod, [this] {
      state_->answers.CutStalled(options_.min_answer_bytes,
                                 options_.answer_period, BootTimeNow());
    });
  }
  return {};
}

GObjectPtr<GSocket> HttpServer::OpenSocket(GError** error) const {
  const GObjectPtr<GSocketAddress> address(
      g_inet_socket_address_new_from_string(options_.address.c_str(),
                                            options_.port));
  if (!address) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
                "%s is not an IP address", options_.address.c_str());
    return nullptr;
  }
  GObjectPtr<GSocket> socket(
      BindSocket(address.get(), options_.share_port, error));
  if (!socket) return nullptr;
  // Connection bursts overflow GLib's default backlog of 10.
  g_socket_set_listen_backlog(socket.get(), 4096);
  if (!g_socket_listen(socket.get(), error)) return nullptr;
  return socket;
}

bool HttpServer::OnConnection(GObjectPtr<GSocket> socket) {
  // Disables Nagle's algorithm: small streamed chunks must not wait for the
  // acknowledgement of the previous one.
  g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  const GObjectPtr<GSocketAddress> local(
      g_socket_get_local_address(socket.get(), nullptr));
  const std::shared_ptr<ClientConnection> connection =
      NewConnection(std::move(socket));
  if (!connection) return true;
  const GObjectPtr<GSocketAddress> remote = NewLibraryAddress(connection);
  // The client is gone already.
  if (!local || !remote) return true;
  ChargeConnection(connection.get());
  const bool fits = limiter_->OnOpened(connection.get());
  const GObjectPtr<GIOStream> stream = NewLibraryStream(connection);
  soup_server_accept_iostream(server_.get(), stream.get(), local.get(),
                              remote.get(), nullptr);
  return fits;
}

GObjectPtr<GIOStream> HttpServer::NewTransport(GSocket* socket) const {
  GObjectPtr<GIOStream> plain(
      G_IO_STREAM(g_socket_connection_factory_create_connection(socket)));
  if (!certificate_) return plain;
  return GObjectPtr<GIOStream>(
      g_tls_server_connection_new(plain.get(), certificate_.get(), nullptr));
}

std::shared_ptr<ClientConnection> HttpServer::NewConnection(
    GObjectPtr<GSocket> socket) {
  GObjectPtr<GIOStream> transport = NewTransport(socket.get());
  if (!transport) return nullptr;
  // A message may hold its connection for longer than the server exists.
  const auto guarded = [this](auto callback) {
    return [this, state = state_, callback](ClientConnection* connection) {
      if (!state->stopped) callback(this, connection);
    };
  };
  using Server = HttpServer*;
  using Connection = ClientConnection*;
  return std::make_shared<ClientConnection>(
      std::move(socket), std::move(transport),
      ClientConnectionOptions{
          .framing = {.max_header_bytes = options_.max_header_bytes},
          .memory = options_.memory},
      ClientConnection::Callbacks{
          .on_begun = guarded([](Server server, Connection connection) {
            server->reader_->AddHead(connection);
          }),
          .on_body_refused = guarded([](Server server, Connection connection) {
            server->reader_->OnBodyRefused(*connection);
          }),
          .on_closed = guarded([](Server server, Connection connection) {
            server->OnConnectionClosed(connection);
          })});
}

void HttpServer::OnConnectionClosed(ClientConnection* connection) {
  reader_->OnClosed(connection);
  limiter_->OnClosed(connection);
}

void HttpServer::OnExhausted(Time now) {
  const bool ended = limiter_->EndLongestIdle();
  if (options_.metrics != nullptr) {
    options_.metrics->counter("descriptors_exhausted_total").Add();
  }
  if (now < next_exhausted_line_) return;
  next_exhausted_line_ = now + kExhaustedLinePeriod;
  Log(LogLevel::kError, "descriptors_exhausted",
      {{"address", options_.address},
       {"port", port_},
       {"idle_connection_ended", ended ? "true" : "false"}});
}

void HttpServer::StopListening() {
  if (!server_) return;
  listener_.reset();
}

void HttpServer::BeginDrain() { state_->draining = true; }

bool HttpServer::Drained() const {
  const bool closing = closer_ != nullptr && !closer_->empty();
  const bool reading = reader_ != nullptr && reader_->Begun() > 0;
  return !closing && !reading && !state_->answers.HasUnsent();
}

std::vector<UnsentAnswer> HttpServer::UnsentAnswers() const {
  std::vector<UnsentAnswer> unsent = state_->answers.Unsent();
  if (reader_ != nullptr) {
    unsent.resize(unsent.size() + reader_->Begun(), {.handed_over = true});
  }
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
  ClientConnection* connection = ConnectionOf(message);
  if (connection == nullptr) return;
  GSocket* socket = connection->socket();
  EndedConnection ended{.transport = ShareGObject(connection->transport()),
                        .socket = ShareGObject(socket),
                        .label = state_->answers.LabelOf(message)};
  state_->answers.OnFinished(message, false);
  state_->answers.Forget(socket);
  reader_->Remove(message);
  connection->EndInput();
  OnConnectionClosed(connection);
  ended.stream.reset(soup_server_message_steal_connection(message));
  closer_->Close(std::move(ended), BootTimeNow());
}

void HttpServer::OnRequestFinished(SoupServer*, SoupServerMessage* message,
                                   gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  self->reader_->Remove(message);
  self->state_->answers.OnFinished(message, false);
  ClientConnection* connection = ConnectionOf(message);
  if (connection == nullptr) return;
  connection->OnMessageEnded();
  self->limiter_->OnAnswered(connection);
}

void HttpServer::OnRequestAborted(SoupServer* server,
                                  SoupServerMessage* message, gpointer data) {
  // libsoup also reports an answer with status 500 as aborted.
  if (soup_server_message_get_status(message) == kServerError) {
    return OnRequestFinished(server, message, data);
  }
  auto* self = static_cast<HttpServer*>(data);
  self->reader_->Remove(message);
  self->state_->answers.OnFinished(message, true);
  ClientConnection* connection = ConnectionOf(message);
  if (connection != nullptr) connection->EndInput();
}

void HttpServer::ChargeConnection(ClientConnection* connection) {
  if (connection->ChargeOpen(BootTimeNow())) return;
  // The connection is open already.
  if (options_.metrics != nullptr) {
    options_.metrics->counter("connections_limited_total").Add();
  }
  if (!limiter_->EndLongestIdle()) {
    g_socket_shutdown(connection->socket(), TRUE, TRUE, nullptr);
  }
}

void HttpServer::OnRequestStarted(SoupServer*, SoupServerMessage* message,
                                  gpointer self) {
  if (ConnectionOf(message) == nullptr) return;
  g_signal_connect(message, "wrote-body", G_CALLBACK(&OnWroteBody), self);
  static_cast<HttpServer*>(self)->reader_->Add(message);
}

}  // namespace cassiausher
