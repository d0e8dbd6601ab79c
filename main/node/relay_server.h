// The side of an entry instance that helps: takes requests from entry instances
// that don't reach their endpoints.
#ifndef MAIN_NODE_RELAY_SERVER_H_
#define MAIN_NODE_RELAY_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/metrics.h"
#include "drivers/http_server.h"
#include "main/node/client_limits.h"
#include "main/node/node_settings.h"
#include "proto/gen/node.pb.h"
#include "servers/relay/relay_messages.h"

namespace cassiausher {

/// Used on the entry node's task only.
class RelayServer {
 public:
  /// Gets the requests that carry this instance's token. The answer says that
  /// this instance is unable to serve the request until it is marked again.
  using Handler =
      std::function<void(HttpExchangePtr exchange, const RelayRequest& relay)>;

  RelayServer(const SocketAddress& address, RelayToken token,
              const ClientLimits& limits, Metrics& metrics, Handler handler);

  /// Returns an error message, empty on success.
  std::string Listen(GMainContext* context) { return server_.Listen(context); }
  /// Adds how others reach this instance.
  void WriteOffer(proto::RelayOffer* offer) const;

  void BeginDrain() { server_.BeginDrain(); }
  void StopListening() { server_.StopListening(); }
  bool Drained() const { return server_.Drained(); }
  std::vector<UnsentAnswer> UnsentAnswers() const {
    return server_.UnsentAnswers();
  }

  /// Sets what the answer tells the instance that relayed the request.
  static void Mark(HttpExchange& exchange, const RelayAnswer& answer);

 private:
  void OnRequest(HttpExchangePtr exchange);
  static void Refuse(HttpExchange& exchange, std::string_view reason);

  std::string address_;
  RelayToken token_;
  Counter& taken_;
  Counter& refused_;
  Handler handler_;
  HttpServer server_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_RELAY_SERVER_H_
