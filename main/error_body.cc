#include "main/error_body.h"

#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "core/json_reader.h"

namespace cassiausher {

std::string FormatError(const ErrorAnswer& error) {
  const nlohmann::json body = {
      {"error",
       {{"type", error.type},
        {"code", error.code},
        {"message", error.message},
        {"not_run", error.not_run},
        {"retry_after_ms",
         static_cast<std::int64_t>(ToMilliseconds(error.retry_after))}}}};
  return DumpJson(body);
}

void RespondError(HttpExchange& exchange, const ErrorAnswer& error,
                  const std::string& request_id) {
  HttpHeaders headers;
  if (!request_id.empty()) headers.emplace_back("X-Request-Id", request_id);
  if (error.retry_after > Duration(0)) {
    headers.emplace_back("Retry-After",
                         fmt::to_string(static_cast<int>(
                             std::ceil(ToSeconds(error.retry_after)))));
  }
  exchange.Respond(error.status, "application/json", FormatError(error),
                   headers);
}

}  // namespace cassiausher
