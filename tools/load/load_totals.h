// Request counts and latencies of a load run.
#ifndef TOOLS_LOAD_LOAD_TOTALS_H_
#define TOOLS_LOAD_LOAD_TOTALS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "tools/load/latency_histogram.h"

namespace cassiausher {

/// Requests of one service. `on_time` counts those answered within their
/// targets; a request with retries counts once.
struct ServiceTotals {
  std::int64_t offered = 0;
  std::int64_t answered = 0;
  std::int64_t on_time = 0;
  std::int64_t cancelled = 0;
  std::int64_t refused = 0;
  std::int64_t refused_not_run = 0;
  std::int64_t failed = 0;
  std::int64_t broken = 0;
  std::int64_t unreachable = 0;
  std::int64_t tokens = 0;
  /// Attempts that were refused or failed, by error code.
  std::map<std::string, std::int64_t> codes;
  LatencyHistogram first_token;
  LatencyHistogram between_tokens;
  LatencyHistogram whole;

  void Merge(const ServiceTotals& other);
};

struct LoadTotals {
  std::map<std::string, ServiceTotals> services;
  /// Arrivals that waited because the concurrency limit was reached.
  std::int64_t held_back = 0;
  /// Length of the run, and of the part in which requests started.
  double seconds = 0;
  double offering_seconds = 0;

  void Merge(const LoadTotals& other);
  nlohmann::json ToJson() const;
};

/// Formats the object returned by ToJson as a text table.
std::string FormatTable(const nlohmann::json& totals);

}  // namespace cassiausher

#endif  // TOOLS_LOAD_LOAD_TOTALS_H_
