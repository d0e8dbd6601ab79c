// Faults that POST /fake/fault sets.
#ifndef TOOLS_FAKE_ENDPOINT_ENDPOINT_FAULTS_H_
#define TOOLS_FAKE_ENDPOINT_ENDPOINT_FAULTS_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace cassiausher {

/// Faults that stay active until they are changed. Rates are probabilities.
struct EndpointFaults {
  std::int64_t stall_until_us = 0;
  double error_rate = 0;
  double late_rate = 0;
  double repeat_rate = 0;
  bool refuse_cancels = false;
  /// The process exits after this many more tokens; -1 means never.
  std::int64_t die_after_tokens = -1;
};

/// Result of one POST /fake/fault request.
struct FaultChange {
  EndpointFaults faults;
  bool silence = false;
  bool depart = false;
  std::optional<bool> honours_fencing;
};

/// Applies the object `body` to `change`. Returns the names of the fields that
/// are unknown or out of range, or an empty string when all are valid.
std::string ParseFaults(const nlohmann::json& body, std::int64_t now_us,
                        FaultChange* change);

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_ENDPOINT_FAULTS_H_
