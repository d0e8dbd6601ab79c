// Permits for calls to endpoints that named a rate limit, as the decision code
// of a request sees them.
#ifndef SERVERS_ENTRY_CALL_PERMITS_H_
#define SERVERS_ENTRY_CALL_PERMITS_H_

#include <cstdint>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// Identifies a request that waits for a permit.
using PermitTicket = StrongNumber<struct PermitTicketTag, std::uint64_t>;

/// The right to make one call to an endpoint. Made use of, or returned.
struct CallPermit {
  EndpointId endpoint;
  /// A permit that is returned later is lost.
  Time returnable_until{};
};

enum class PermitState {
  kUnlimited,  ///< The endpoint has no limit; no permit is needed.
  kGranted,
  kAsked,    ///< The answer comes within some ten milliseconds.
  kRefused,  ///< The limit is used up.
};

struct PermitResult {
  PermitState state = PermitState::kUnlimited;
  CallPermit permit;       ///< If granted.
  PermitTicket ticket{0};  ///< If asked.
  Time room_at{};          ///< If refused: when there may be a permit.
};

class CallPermits {
 public:
  virtual ~CallPermits() = default;

  virtual PermitResult Take(const EndpointId& endpoint, Time now) = 0;
  /// As Take(), but never asks: refused if that would be needed.
  virtual PermitResult TakeWithoutAsking(const EndpointId& endpoint,
                                         Time now) = 0;
  virtual bool IsLimited(const EndpointId& endpoint) const = 0;
  /// Whether Take() wouldn't be refused now, as far as is known.
  virtual bool MayHaveRoom(const EndpointId& endpoint, Time now) const = 0;
  virtual void Return(const CallPermit& permit) = 0;
  /// The request no longer waits; its outcome is a refusal.
  virtual void Cancel(PermitTicket ticket) = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_CALL_PERMITS_H_
