// Benchmark of the routing policies: runs them in virtual time against
// simulated engines and prints goodput, latencies and wasted prefill.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "modules/policy_greedy/register_types.h"
#include "modules/policy_least_loaded/register_types.h"
#include "modules/policy_reserving/register_types.h"
#include "modules/policy_round_robin/register_types.h"
#include "tools/policy_bench/simulation.h"

namespace cassiausher {
namespace {

constexpr char kUsage[] =
    R"(Runs the routing policies in virtual time against small fake engines.

Usage:
  cassiausher_policy_bench [options]
  cassiausher_policy_bench (-h | --help)

Options:
  --deployment NAME  kaewmanee, association, aim, or one pool of 12 or 600
                     endpoints: pool-12, pool-600 [default: kaewmanee]
  --load X           1.0 fills the decode slots exactly [default: 0.95]
  --seed N           Seed of the workload [default: 1]
  --seconds S        Measured virtual time [default: 60]
  --fault NAME       none, decode-death, prefill-death, link-stall,
                     cancel-storm or stale-load [default: none]
  --policy NAME      all, or the name of one policy [default: all]
  --thrift X         Overrides the deployment's prefill_thrift, 0 to 1
  --only-short       Leaves the requests of the long class out
  --format NAME      json or text [default: text]
)";

constexpr std::array<std::string_view, 4> kPolicies = {
    "round_robin", "least_loaded", "greedy_no_reservation", "reserving"};

constexpr std::array<std::pair<std::string_view, FaultKind>, 6> kFaults = {
    {{"none", FaultKind::kNone},
     {"decode-death", FaultKind::kDecodeDeath},
     {"prefill-death", FaultKind::kPrefillDeath},
     {"link-stall", FaultKind::kLinkStall},
     {"cancel-storm", FaultKind::kCancelStorm},
     {"stale-load", FaultKind::kStaleLoad}}};

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  const auto place = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

/// Quantile in milliseconds of a histogram with buckets of 0.1 ms.
double GapQuantile(const std::vector<std::uint64_t>& buckets, double quantile) {
  double total = 0;
  for (const std::uint64_t count : buckets) total += static_cast<double>(count);
  double sum = 0;
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    sum += static_cast<double>(buckets[i]);
    if (total > 0 && sum >= quantile * total)
      return static_cast<double>(i) / 10;
  }
  return 0;
}

double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }

nlohmann::ordered_json ToJson(const BenchOptions& options,
                              BenchResult& result) {
  nlohmann::ordered_json json;
  json["policy"] = options.policy;
  json["offered"] = result.offered;
  json["answered"] = result.answered;
  const auto offered = static_cast<double>(result.offered);
  const double goodput = Share(static_cast<double>(result.good), offered);
  json["goodput"] = goodput;
  json["goodput_of_capacity"] = goodput * std::max(1.0, options.load);
  const auto prefilled = static_cast<double>(result.prefilled_tokens);
  json["wasted_prefill"] =
      Share(static_cast<double>(result.wasted_tokens), prefilled);
  json["wasted_prefill_cancelled_when_done"] = Share(
      static_cast<double>(result.cancelled_after_prefill_tokens), prefilled);
  json["refused_not_run"] = result.refused_not_run;
  json["failed"] = result.failed;
  json["callers_left"] = result.abandoned;
  json["cancelled"] = result.cancelled;
  for (ClassResult& class_result : result.classes) {
    nlohmann::ordered_json row;
    row["name"] = class_result.name;
    row["ttft_p50_ms"] = Quantile(class_result.ttft_ms, 0.5);
    row["ttft_p95_ms"] = Quantile(class_result.ttft_ms, 0.95);
    row["ttft_p99_ms"] = Quantile(class_result.ttft_ms, 0.99);
    row["ttft_p99_shared_pool_ms"] =
        Quantile(class_result.ttft_shared_ms, 0.99);
    row["tbt_p95_ms"] = GapQuantile(class_result.gaps, 0.95);
    row["offered"] = class_result.offered;
    row["goodput"] = Share(static_cast<double>(class_result.good),
                           static_cast<double>(class_result.offered));
    json["class"].push_back(row);
  }
  json["decision_us_p50"] = Quantile(result.decision_us, 0.5);
  json["decision_us_p99"] = Quantile(result.decision_us, 0.99);
  json["quarantines"] = result.counters.quarantines;
  json["violations"] = result.violations;
  if (!result.violation_names.empty())
    json["violation_names"] = result.violation_names;
  return json;
}

void PrintText(const nlohmann::ordered_json& rows) {
  fmt::print("{:22} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>5}\n",
             "policy", "goodput", "of cap.", "wasted", "refused", "short p99",
             "long p99", "us p99", "viol.");
  for (const auto& row : rows) {
    fmt::print(
        "{:22} {:8.4f} {:8.4f} {:8.4f} {:8} {:9.1f} {:9.1f} {:9.2f} {:5}\n",
        row["policy"].get<std::string>(), row["goodput"].get<double>(),
        row["goodput_of_capacity"].get<double>(),
        row["wasted_prefill"].get<double>(),
        row["refused_not_run"].get<std::uint64_t>(),
        row["class"][0]["ttft_p99_ms"].get<double>(),
        row["class"][1]["ttft_p99_ms"].get<double>(),
        row["decision_us_p99"].get<double>(),
        row["violations"].get<std::uint64_t>());
  }
}

int Fail(const std::string& message) {
  fmt::print(stderr, "cassiausher_policy_bench: {}\n", message);
  return 2;
}

int Run(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  BenchOptions options;
  const std::string deployment = arguments["--deployment"].asString();
  if (!FindDeployment(deployment, &options.deployment))
    return Fail("--deployment: unknown deployment \"" + deployment + "\"");
  const std::string fault = arguments["--fault"].asString();
  const auto* fault_entry =
      std::find_if(kFaults.begin(), kFaults.end(),
                   [&](const auto& item) { return item.first == fault; });
  if (fault_entry == kFaults.end())
    return Fail("--fault: unknown fault \"" + fault + "\"");
  options.fault = fault_entry->second;
  try {
    options.load = std::stod(arguments["--load"].asString());
    options.seed = std::stoull(arguments["--seed"].asString());
    options.seconds = std::stoi(arguments["--seconds"].asString());
    if (arguments["--thrift"])
      options.deployment.prefill_thrift =
          std::stod(arguments["--thrift"].asString());
  } catch (const std::exception&) {
    return Fail("--load, --seed, --seconds and --thrift take a number");
  }
  if (options.load <= 0 || options.load > 100 || options.seconds <= 0)
    return Fail("--load must be in (0, 100], --seconds above 0");
  options.only_short = arguments["--only-short"].asBool();
  const std::string policy = arguments["--policy"].asString();
  const bool is_known_policy =
      std::find(kPolicies.begin(), kPolicies.end(), policy) != kPolicies.end();
  if (policy != "all" && !is_known_policy)
    return Fail("--policy: unknown policy \"" + policy + "\"");

  RoutingPolicyRegistry registry;
  RegisterRoundRobinPolicy(registry);
  RegisterLeastLoadedPolicy(registry);
  RegisterGreedyPolicy(registry);
  RegisterReservingPolicy(registry);
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const std::string_view name : kPolicies) {
    if (policy != "all" && policy != name) continue;
    options.policy = name;
    BenchResult result = Simulation(options, registry).Run();
    rows.push_back(ToJson(options, result));
  }
  if (arguments["--format"].asString() == "json") {
    fmt::print("{}\n", rows.dump(2));
  } else {
    PrintText(rows);
  }
  return 0;
}

}  // namespace
}  // namespace cassiausher

int main(int argc, char** argv) { return cassiausher::Run(argc, argv); }
