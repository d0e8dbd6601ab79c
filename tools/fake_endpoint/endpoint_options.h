// Configuration of a fake endpoint: identity, capacity and speed.
#ifndef TOOLS_FAKE_ENDPOINT_ENDPOINT_OPTIONS_H_
#define TOOLS_FAKE_ENDPOINT_ENDPOINT_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/endpoint_role.h"

namespace cassiausher {

struct EndpointOptions {
  std::string name = "fake";
  std::string data_centre = "local";
  std::string service = "service";
  EndpointRole role = EndpointRole::kDecode;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  /// Admin base URLs of the instances to announce to, in order of preference.
  std::vector<std::string> announce_urls;
  std::string announce_token_file;
  /// Maximum number of requests that decode concurrently.
  std::int64_t slots = 20;
  double prefill_tokens_per_second = 20'000;
  /// Time between tokens; 0 means as fast as possible. For a plain service, the
  /// processing time of a request.
  std::int64_t step_ms = 20;
  /// Typical length of an answer; see AnswerLength.
  std::int64_t output_tokens = 100;
  /// How long a KV cache is kept for a decode engine after its prefill.
  std::int64_t retention_ms = 800;
  double link_bytes_per_second = 1e9;
  std::int64_t kv_bytes_per_token = 1000;
  /// Age of the load that announcements report.
  std::int64_t load_lag_ms = 250;
  /// Whether requests with a stale epoch are rejected.
  bool honours_fencing = true;
  /// Seed of random faults and lost cache events.
  std::uint64_t seed = 1;
};

/// "prefill", "decode" or "plain".
const char* RoleName(EndpointRole role);
/// Returns false when `name` is not a role.
bool ParseRole(const std::string& name, EndpointRole* role);

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_ENDPOINT_OPTIONS_H_
