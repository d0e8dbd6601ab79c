// How a call to an endpoint failed.
#ifndef SERVERS_ENTRY_CALL_FAILURE_H_
#define SERVERS_ENTRY_CALL_FAILURE_H_

#include <string_view>

#include "servers/entry/endpoint_health.h"

namespace cassiausher {

enum class CallFailure {
  kNotSent,      ///< No connection; the endpoint received nothing.
  kNotExecuted,  ///< The endpoint reports that it didn't run the request.
  kMisplaced,    ///< Not executed: another endpoint now has the address.
  kServerError,  ///< The endpoint responded with a server error.
  kBroken,       ///< No response or an incomplete one; may have run.
  kSilent,       ///< Nothing arrived within the time limit; may have run.
  kExcessive,    ///< The response exceeds a limit; may have run.
};

/// Name for log lines and metrics.
std::string_view Name(CallFailure failure);
/// What the failure says of the endpoint.
WorkOutcome OutcomeOf(CallFailure failure);

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_CALL_FAILURE_H_
