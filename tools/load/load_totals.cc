#include "tools/load/load_totals.h"

#include <fmt/format.h>

#include <algorithm>

namespace cassiausher {
namespace {

using nlohmann::json;

json CountsToJson(const ServiceTotals& totals) {
  const std::int64_t expected =
      std::max<std::int64_t>(1, totals.offered - totals.cancelled);
  return {{"offered", totals.offered},
          {"answered", totals.answered},
          {"cancelled", totals.cancelled},
          {"refused", totals.refused},
          {"refused_not_run", totals.refused_not_run},
          {"failed", totals.failed},
          {"broken", totals.broken},
          {"unreachable", totals.unreachable},
          {"tokens", totals.tokens},
          {"codes", totals.codes},
          {"goodput", static_cast<double>(totals.on_time) /
                          static_cast<double>(expected)}};
}

void AddPercentiles(const std::string& name, const LatencyHistogram& histogram,
                    json* out) {
  for (const int percent : {50, 95, 99}) {
    (*out)[fmt::format("{}_p{}_ms", name, percent)] =
        histogram.Percentile(percent);
  }
}

json ServiceToJson(const std::string& name, const ServiceTotals& totals) {
  json out = CountsToJson(totals);
  out["name"] = name;
  AddPercentiles("ttft", totals.first_token, &out);
  AddPercentiles("tbt", totals.between_tokens, &out);
  AddPercentiles("whole", totals.whole, &out);
  return out;
}

}  // namespace

void ServiceTotals::Merge(const ServiceTotals& other) {
  offered += other.offered;
  answered += other.answered;
  on_time += other.on_time;
  cancelled += other.cancelled;
  refused += other.refused;
  refused_not_run += other.refused_not_run;
  failed += other.failed;
  broken += other.broken;
  unreachable += other.unreachable;
  tokens += other.tokens;
  for (const auto& [code, count] : other.codes) codes[code] += count;
  first_token.Merge(other.first_token);
  between_tokens.Merge(other.between_tokens);
  whole.Merge(other.whole);
}

void LoadTotals::Merge(const LoadTotals& other) {
  for (const auto& [name, totals] : other.services) {
    services[name].Merge(totals);
  }
  held_back += other.held_back;
  seconds = std::max(seconds, other.seconds);
  offering_seconds = std::max(offering_seconds, other.offering_seconds);
}

json LoadTotals::ToJson() const {
  ServiceTotals sum;
  json list = json::array();
  for (const auto& [name, totals] : services) {
    sum.Merge(totals);
    list.push_back(ServiceToJson(name, totals));
  }
  json out = CountsToJson(sum);
  constexpr double kMinSpanSeconds = 1e-6;
  const double span = std::max(seconds, kMinSpanSeconds);
  const double offering = std::max(offering_seconds, kMinSpanSeconds);
  out["seconds"] = seconds;
  out["held_back"] = held_back;
  out["requests_per_second"] = static_cast<double>(sum.offered) / offering;
  out["tokens_per_second"] = static_cast<double>(sum.tokens) / span;
  out["services"] = std::move(list);
  return out;
}

std::string FormatTable(const json& totals) {
  std::string out = fmt::format(
      "{:.1f} s, {:.0f} requests/s, {:.0f} tokens/s, {} arrivals held back\n\n"
      "{:<22}{:>9}{:>9}{:>9}{:>10}{:>8}{:>9}{:>10}{:>10}{:>9}{:>9}{:>10}\n",
      totals["seconds"].get<double>(),
      totals["requests_per_second"].get<double>(),
      totals["tokens_per_second"].get<double>(),
      totals["held_back"].get<std::int64_t>(), "service", "offered", "answered",
      "refused", "cancelled", "broken", "goodput", "ttft_p50", "ttft_p99",
      "tbt_p50", "tbt_p99", "whole_p99");
  for (const json& row : totals["services"]) {
    const auto count = [&](const char* name) {
      return row[name].get<std::int64_t>();
    };
    const auto number = [&](const char* name) {
      return row[name].get<double>();
    };
    out += fmt::format(
        "{:<22}{:>9}{:>9}{:>9}{:>10}{:>8}{:>9.4f}{:>10.2f}{:>10.2f}{:>9.2f}"
        "{:>9.2f}{:>10.2f}\n",
        row["name"].get<std::string>(), count("offered"), count("answered"),
        count("refused"), count("cancelled"),
        count("broken") + count("failed") + count("unreachable"),
        number("goodput"), number("ttft_p50_ms"), number("ttft_p99_ms"),
        number("tbt_p50_ms"), number("tbt_p99_ms"), number("whole_p99_ms"));
  }
  for (const auto& [code, count] : totals["codes"].items()) {
    out += fmt::format("{} attempts: {}\n", count.get<std::int64_t>(), code);
  }
  return out;
}

}  // namespace cassiausher
