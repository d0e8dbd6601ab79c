#include "main/node/relay_server.h"

#include <utility>

#include "core/log.h"
#include "drivers/process_setup.h"
#include "main/error_body.h"

namespace cassiausher {
namespace {

constexpr int kServiceUnavailable = 503;
// Larger than the largest request.
constexpr std::int64_t kMaxReadingBytes = 6 << 20;

}  // namespace

RelayServer::RelayServer(const SocketAddress& address, RelayToken token,
                         const ClientLimits& limits, Metrics& metrics,
                         Handler handler)
    : address_(address.text()),
      token_(token),
      taken_(metrics.counter("requests_taken_for_others_total")),
      refused_(metrics.counter("requests_of_others_refused_total")),
      handler_(std::move(handler)),
      server_(
          HttpServerOptions{.address = address.ip,
                            .port = address.port,
                            .metrics = &metrics,
                            .max_unsent_bytes = limits.unsent_bytes,
                            .max_reading_bytes = kMaxReadingBytes,
                            .max_descriptor = MaxForwardedDescriptor(),
                            .memory = limits.memory},
          [this](HttpExchangePtr exchange) { OnRequest(std::move(exchange)); },
          [](int, std::string_view message) { return std::string(message); }) {}

void RelayServer::WriteOffer(proto::RelayOffer* offer) const {
  offer->set_address(address_);
  offer->set_token(token_.value());
}

void RelayServer::Mark(HttpExchange& exchange, const RelayAnswer& answer) {
  exchange.SetAnswerHeader(kRelayHeader, ToHeader(answer));
}

void RelayServer::OnRequest(HttpExchangePtr exchange) {
  const auto relay = ReadRelayRequest(exchange->header(kRelayHeader));
  Mark(*exchange, {.outcome = RelayOutcome::kUnable});
  if (!relay.has_value() || relay->token != token_) {
    refused_.Add();
    return Refuse(*exchange, "the token isn't that of this process");
  }
  taken_.Add();
  handler_(std::move(exchange), *relay);
}

void RelayServer::Refuse(HttpExchange& exchange, std::string_view reason) {
  Log(LogLevel::kWarning, "relay_refused", {{"reason", reason}});
  exchange.Respond(kServiceUnavailable, "application/json",
                   FormatError({.type = "unavailable",
                                .code = "refused",
                                .message = std::string(reason),
                                .not_run = true}));
}

}  // namespace cassiausher
