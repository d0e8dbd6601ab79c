// What two entry instances tell each other of a relayed request, beside the
// request and its answer themselves: one header in each direction.
#ifndef SERVERS_RELAY_RELAY_MESSAGES_H_
#define SERVERS_RELAY_RELAY_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/units.h"
#include "servers/relay/relay_types.h"

namespace cassiausher {

/// Never passed on to endpoints or callers.
inline constexpr const char* kRelayHeader = "Cassiausher-Relay";

struct RelayRequest {
  RelayToken token{0};
  /// The helper must not serve the request by an older configuration.
  Revision configuration{0};
  /// Maximum number of runs that the helper may make.
  int attempts = 1;
  /// Software version that began the stream, which the helper continues; null
  /// for a new one.
  std::optional<SoftwareVersion> begun_by;
};

enum class RelayOutcome {
  /// The answer is that of an endpoint, or tells of a failure after which the
  /// request may have run.
  kServed,
  /// The request didn't run and won't; another helper couldn't serve it either.
  kRefused,
  /// The same, but another helper may serve it.
  kUnable,
};

struct RelayAnswer {
  RelayOutcome outcome = RelayOutcome::kServed;
  /// The configuration that the helper applied.
  Revision configuration{0};
  /// Software version of the endpoint that writes the stream.
  std::optional<SoftwareVersion> version;
};

std::string ToHeader(const RelayRequest& request);
std::string ToHeader(const RelayAnswer& answer);
/// Null if the text isn't a value of the header.
std::optional<RelayRequest> ReadRelayRequest(std::string_view header);
std::optional<RelayAnswer> ReadRelayAnswer(std::string_view header);

}  // namespace cassiausher

#endif  // SERVERS_RELAY_RELAY_MESSAGES_H_
