#include "servers/entry/call_failure.h"

namespace cassiausher {

std::string_view Name(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return "not_sent";
    case CallFailure::kNotExecuted:
      return "not_executed";
    case CallFailure::kMisplaced:
      return "misplaced";
    case CallFailure::kServerError:
      return "server_error";
    case CallFailure::kBroken:
      return "broken";
    case CallFailure::kSilent:
      return "silent";
    case CallFailure::kExcessive:
      return "excessive";
  }
  return "unknown";
}

WorkOutcome OutcomeOf(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return WorkOutcome::kUnreachable;
    case CallFailure::kNotExecuted:
      return WorkOutcome::kRejected;
    case CallFailure::kMisplaced:
      return WorkOutcome::kMisplaced;
    case CallFailure::kServerError:
      return WorkOutcome::kServerError;
    case CallFailure::kBroken:
      return WorkOutcome::kBroken;
    case CallFailure::kSilent:
      return WorkOutcome::kSilent;
    case CallFailure::kExcessive:
      return WorkOutcome::kExcessive;
  }
  return WorkOutcome::kBroken;
}

}  // namespace cassiausher
