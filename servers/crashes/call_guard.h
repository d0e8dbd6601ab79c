// Decides whether a call may be made, or would make its endpoint crash.
#ifndef SERVERS_CRASHES_CALL_GUARD_H_
#define SERVERS_CRASHES_CALL_GUARD_H_

#include "core/time.h"
#include "servers/crashes/call_traits.h"
#include "servers/crashes/verdict.h"

namespace cassiausher {

struct Admission {
  bool admitted = true;
  /// The call is a trial of a verdict.
  bool trial = false;
  /// Why the call isn't admitted, or what it tries.
  VerdictId verdict{0};
  /// When to come back with a call that isn't admitted.
  Time retry_at{};
};

class CallGuard {
 public:
  virtual ~CallGuard() = default;

  virtual Admission Admit(const CallTraits& traits, Time now) = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_CALL_GUARD_H_
