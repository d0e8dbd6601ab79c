// The common format of all refusals and errors sent to callers and operators.
#ifndef MAIN_ERROR_BODY_H_
#define MAIN_ERROR_BODY_H_

#include <string>
#include <string_view>

#include "core/time.h"
#include "drivers/http_server.h"

namespace cassiausher {

struct ErrorAnswer {
  int status = 500;
  /// invalid_request, authentication, limit, overloaded, unavailable,
  /// unknown_outcome.
  std::string_view type;
  std::string_view code;
  std::string message;
  /// Guarantees that the request was not executed and will not be.
  bool not_run = false;
  Duration retry_after{0};
};

/// `{"error":{"type","code","message","not_run","retry_after_ms"}}`.
std::string FormatError(const ErrorAnswer& error);

/// Answers with the error body and, if `retry_after` is positive, Retry-After
/// in whole seconds, rounded up.
void RespondError(HttpExchange& exchange, const ErrorAnswer& error,
                  const std::string& request_id = {});

}  // namespace cassiausher

#endif  // MAIN_ERROR_BODY_H_
