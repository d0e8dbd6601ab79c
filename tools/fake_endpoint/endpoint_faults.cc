#include "tools/fake_endpoint/endpoint_faults.h"

#include <nlohmann/json.hpp>

namespace cassiausher {

std::string ParseFaults(const nlohmann::json& body, std::int64_t now_us,
                        FaultChange* change) {
  constexpr std::int64_t kMicrosPerMilli = 1000;
  std::string invalid_fields;
  for (const auto& [name, value] : body.items()) {
    const bool is_rate = value.is_number() && value >= 0 && value <= 1;
    const bool is_count = value.is_number_integer() && value >= 0;
    const bool is_flag = value.is_boolean();
    if (name == "stall_ms" && is_count) {
      change->faults.stall_until_us =
          now_us + value.get<std::int64_t>() * kMicrosPerMilli;
    } else if (name == "silence" && is_flag) {
      change->silence = value.get<bool>();
    } else if (name == "late_rate" && is_rate) {
      change->faults.late_rate = value.get<double>();
    } else if (name == "repeat_rate" && is_rate) {
      change->faults.repeat_rate = value.get<double>();
    } else if (name == "error_rate" && is_rate) {
      change->faults.error_rate = value.get<double>();
    } else if (name == "refuse_cancels" && is_flag) {
      change->faults.refuse_cancels = value.get<bool>();
    } else if (name == "die_after_tokens" && is_count) {
      change->faults.die_after_tokens = value.get<std::int64_t>();
    } else if (name == "fencing" && (value == "honour" || value == "ignore")) {
      change->honours_fencing = value == "honour";
    } else if (name == "depart" && is_flag) {
      change->depart = value.get<bool>();
    } else if (name == "clear" && is_flag) {
      change->faults = EndpointFaults{};
    } else {
      invalid_fields += (invalid_fields.empty() ? "" : ", ") + name;
    }
  }
  return invalid_fields;
}

}  // namespace cassiausher
