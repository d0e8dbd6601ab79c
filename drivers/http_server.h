// HTTP server of one task, based on libsoup. The handler gets complete requests
// and may respond later, at once or as a stream.
#ifndef DRIVERS_HTTP_SERVER_H_
#define DRIVERS_HTTP_SERVER_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "drivers/answer_tracker.h"
#include "drivers/client_connection.h"
#include "drivers/connection_limiter.h"
#include "drivers/gobject_ptr.h"
#include "drivers/http_exchange.h"
#include "drivers/lingering_closer.h"
#include "drivers/listener.h"
#include "drivers/memory_budget.h"
#include "drivers/request_reader.h"

namespace cassiausher {

struct HttpServerOptions {
  std::string address;  ///< IP address.
  std::uint16_t port = 0;
  /// Lets several tasks listen on one port (SO_REUSEPORT); the kernel
  /// distributes connections among them.
  bool share_port = false;
  /// PEM files; empty for plain HTTP.
  std::string tls_certificate_file;
  std::string tls_key_file;
  /// A larger body is answered with 413 before it is read completely.
  std::int64_t max_body_bytes = 4 << 20;
  /// Counts what the limits end; null for nowhere.
  Metrics* metrics = nullptr;
  /// Limit of what all callers together haven't read of their answers. Beyond
  /// it the connection with the most unread bytes is closed, one after another.
  std::int64_t max_unsent_bytes = 96 << 20;
  /// A request that isn't read in full in this time from its first byte ends
  /// its connection.
  Duration read_timeout = Seconds(30);
  /// Limit of the bodies of all requests that are being read. Beyond it the
  /// request with the longest is answered with 503.
  std::int64_t max_reading_bytes = 96 << 20;
  /// Larger request headers are answered with 431.
  std::int64_t max_header_bytes = 32 << 10;
  /// A connection whose descriptor has this number or a higher one ends an idle
  /// connection, so that descriptors are left for other work. 0 for no limit.
  int max_descriptor = 0;
  /// Shared by the servers of a process, and charged with what clients make
  /// them hold; null for no limit.
  std::shared_ptr<MemoryBudget> memory;
  /// A request whose head isn't complete in this time from its first byte ends
  /// its connection.
  Duration head_timeout = Seconds(6);
  /// A body may take `body_grace` and the time of its bytes at this rate, but
  /// no longer than `read_timeout`. 0 for no limit.
  std::int64_t min_body_bytes_per_second = 4 << 10;
  Duration body_grace = Seconds(5);
  /// The connection of a caller that takes fewer bytes of a waiting answer in
  /// `answer_period` is closed. 0 for no limit.
  std::int64_t min_answer_bytes = 16 << 10;
  Duration answer_period = Seconds(10);
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchangePtr)>;
  /// Returns the response body for a request refused before it was read.
  using LimitHandler = RequestReader::LimitHandler;

  HttpServer(HttpServerOptions options, Handler handler,
             LimitHandler limit_handler);
  ~HttpServer();

  /// `context` must be the calling thread's default context. Returns an error
  /// text, empty on success.
  std::string Listen(GMainContext* context);
  /// Stops accepting connections; open ones stay open.
  void StopListening();
  std::uint16_t port() const { return port_; }

  /// From now on each answer ends its connection.
  void BeginDrain();
  /// Whether every caller has its answers in full, no request is being read,
  /// and no connection is being closed. Connections on which no request has
  /// begun may still be open.
  bool Drained() const;
  /// Answers that their callers don't have in full, and one without a label for
  /// each request that is being read.
  std::vector<UnsentAnswer> UnsentAnswers() const;
  /// Bytes of answers that no socket has accepted yet.
  std::int64_t unsent_bytes() const { return state_->answers.process_bytes(); }

 private:
  static void OnRequestFinished(SoupServer* server, SoupServerMessage* message,
                                gpointer self);
  static void OnRequestAborted(SoupServer* server, SoupServerMessage* message,
                               gpointer self);
  static void OnWroteBody(SoupServerMessage* message, gpointer self);
  /// A listening socket at the address of the options; null with an error.
  GObjectPtr<GSocket> OpenSocket(GError** error) const;
  /// Returns whether another one may follow at once.
  bool OnConnection(GObjectPtr<GSocket> socket);
  /// Encrypts the connection if the options say so.
  GObjectPtr<GIOStream> NewTransport(GSocket* socket) const;
  std::shared_ptr<ClientConnection> NewConnection(GObjectPtr<GSocket> socket);
  /// Charges a new connection to the budget. If it doesn't fit, one is ended.
  void ChargeConnection(ClientConnection* connection);
  void OnConnectionClosed(ClientConnection* connection);
  void OnExhausted(Time now);
  /// Takes the connection over from libsoup, to close it without a reset.
  void CloseLingering(SoupServerMessage* message);
  static void OnRequestStarted(SoupServer* server, SoupServerMessage* message,
                               gpointer self);

  HttpServerOptions options_;
  Handler handler_;
  LimitHandler limit_handler_;
  std::shared_ptr<HttpServerState> state_ = std::make_shared<HttpServerState>();
  GObjectPtr<SoupServer> server_;
  std::unique_ptr<LingeringCloser> closer_;
  std::unique_ptr<RequestReader> reader_;
  std::unique_ptr<ConnectionLimiter> limiter_;
  std::unique_ptr<Listener> listener_;
  /// Null for plain HTTP.
  GObjectPtr<GTlsCertificate> certificate_;
  GMainContext* context_ = nullptr;
  GSourcePtr stall_timer_;
  std::uint16_t port_ = 0;
  Time next_exhausted_line_{};
};

}  // namespace cassiausher

#endif  // DRIVERS_HTTP_SERVER_H_
