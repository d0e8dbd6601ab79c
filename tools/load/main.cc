// Command line of the load and history tool.
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>

#include "tools/fake_endpoint/option_reader.h"
#include "tools/load/checker.h"
#include "tools/load/history.h"
#include "tools/load/load_run.h"

namespace cassiausher {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(cassiausher_load - load and history tool

Runs concurrent callers against a live deployment, records their answers
and checks the record against the invariants of the design page.

Usage:
  cassiausher_load check HISTORY [options]
  cassiausher_load direct --url URL [options]
  cassiausher_load --addresses FILE [options]
  cassiausher_load -h | --help
  cassiausher_load --version

Options:
  --addresses FILE          addresses.json of the deployment.
  --url URL                 Fake endpoint to call directly.
  --service NAME            Service of the endpoint [default: service].
  --plain                   The endpoint is a plain service.
  --token-file FILE         File with the callers' bearer token.
  --rate R                  Requests per second, with Poisson arrivals; 0
                            keeps every caller busy [default: 0].
  --seconds S               Time during which requests start [default: 10].
  --requests N              Maximum number of requests, 0 for no limit
                            [default: 0].
  --concurrency C           Concurrent callers [default: 100].
  --threads N               Worker threads [default: 4].
  --mix MIX                 SERVICE=SHARE,... of engine and plain services;
                            equal shares of all services when left out.
  --prompt-tokens PAIRS     Median and sigma of the log-normal prompt length,
                            as MEDIAN,SIGMA for all services or
                            SERVICE=MEDIAN:SIGMA,... [default: 200,0.5].
  --max-tokens N            Maximum tokens of an answer [default: 200].
  --cancel-share P          Fraction of callers that disconnect early
                            [default: 0].
  --retry-share P           Fraction of callers that retry at another
                            instance with the same key [default: 0].
  --non-idempotent-share P  Fraction marked non-idempotent [default: 0].
  --stream-share P          Fraction of streamed answers [default: 1].
  --seed N                  Random seed [default: 1].
  --patience-ms MS          Timeout of a caller; the answer counts as lost
                            [default: 60000].
  --targets PAIRS           Targets for the first token and between tokens in
                            ms, as FIRST,BETWEEN or SERVICE=FIRST:BETWEEN,...;
                            0 means no target [default: 0,0].
  --history FILE            Writes the history.
  --check                   Checks the history after the run.
  --settle-ms MS            Delay before the endpoints' states are read
                            [default: 5000].
  --endpoints-state FILE    JSON array of /fake/state objects, read 5 s or more
                            after the last caller disconnected.
  --faults FILE             Fault records of scripts/faults.py.
  --format FORMAT           text or json [default: text].
  -h --help                 Show this page.
  --version                 Show the version.

Exit codes: 0 success; 1 a violation, an incomplete history or a failed run;
2 invalid options, all reported at once.
)";

constexpr int kExitUsage = 2;
constexpr std::size_t kExcerptsPerInvariant = 5;

json ViolationsToJson(const std::vector<Violation>& violations) {
  json counts = json::object();
  json excerpts = json::array();
  for (const Violation& violation : violations) {
    const int seen = counts.value(violation.invariant, 0);
    counts[violation.invariant] = seen + 1;
    if (static_cast<std::size_t>(seen) >= kExcerptsPerInvariant) continue;
    excerpts.push_back(
        {{"invariant", violation.invariant}, {"message", violation.message}});
  }
  return {{"violations", violations.size()},
          {"violations_by_invariant", std::move(counts)},
          {"excerpts", std::move(excerpts)}};
}

void PrintViolations(const json& report) {
  for (const auto& [invariant, count] :
       report["violations_by_invariant"].items()) {
    fmt::print("violated: {} ({} times)\n", invariant, count.get<int>());
  }
  for (const json& excerpt : report["excerpts"]) {
    fmt::print("{}: {}\n", excerpt["invariant"].get<std::string>(),
               excerpt["message"].get<std::string>());
  }
}

void ReadStates(const std::string& path, History* history, Findings* findings) {
  constexpr std::int64_t kAssumedStatesAfterMs = 5000;
  std::ifstream file(path);
  const json states = json::parse(file, nullptr, false);
  if (!states.is_array()) return findings->Add(path, "is not a JSON array");
  for (const json& state : states) history->states.push_back(state);
  history->states_after_ms =
      std::max(history->states_after_ms, kAssumedStatesAfterMs);
}

/// Reads and checks a history. `report` gets the counts and excerpts.
bool Check(const std::string& path, const std::string& states_path,
           const std::string& faults_path, json* report) {
  Findings findings;
  History history = ReadHistory(path, &findings);
  if (!states_path.empty()) ReadStates(states_path, &history, &findings);
  if (!faults_path.empty()) ReadFaults(faults_path, &history, &findings);
  if (!findings.empty()) {
    for (const Finding& finding : findings.items()) {
      fmt::print(stderr, "{}: {}\n", finding.place, finding.message);
    }
    (*report)["findings"] = findings.items().size();
    return false;
  }
  const std::vector<Violation> violations = CheckHistory(history);
  report->update(ViolationsToJson(violations));
  (*report)["checked"] = history.attempts.size();
  return violations.empty();
}

int RunCheck(OptionReader& reader) {
  const bool as_json = reader.Choice("--format", {"text", "json"}) == "json";
  if (!reader.findings().empty()) {
    reader.PrintFindings();
    return kExitUsage;
  }
  json report = json::object();
  const bool clean =
      Check(reader.Text("HISTORY"), reader.Text("--endpoints-state"),
            reader.Text("--faults"), &report);
  if (as_json) {
    fmt::print("{}\n", report.dump(2));
  } else if (report.contains("violations")) {
    PrintViolations(report);
    fmt::print("{} attempts checked, {} violations\n",
               report["checked"].get<std::size_t>(),
               report["violations"].get<std::size_t>());
  }
  return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}

std::string ReadToken(OptionReader& reader) {
  const std::string path = reader.Text("--token-file");
  if (path.empty()) return {};
  std::ifstream file(path);
  std::string token;
  if (!(file >> token)) reader.AddFinding("--token-file", "can't be read");
  return token;
}

void ReadWorkload(OptionReader& reader, const Addresses& addresses,
                  Workload* workload) {
  constexpr std::int64_t kMaxTokens = 1'000'000;
  Findings findings;
  ParseMix(reader.Text("--mix"), addresses, workload, &findings);
  ParsePairs(
      "--prompt-tokens", reader.Text("--prompt-tokens"),
      [](ServiceLoad& service, double median, double sigma) {
        service.prompt_median = std::max(median, 1.0);
        service.prompt_sigma = sigma;
      },
      workload, &findings);
  ParsePairs(
      "--targets", reader.Text("--targets"),
      [](ServiceLoad& service, double first, double between) {
        service.first_token_ms = first;
        service.between_tokens_ms = between;
      },
      workload, &findings);
  for (const Finding& finding : findings.items()) {
    reader.AddFinding(finding.place, finding.message);
  }
  workload->max_tokens = reader.Integer("--max-tokens", 1, kMaxTokens);
  workload->cancel_share = reader.Number("--cancel-share", 0, 1);
  workload->retry_share = reader.Number("--retry-share", 0, 1);
  workload->non_idempotent_share =
      reader.Number("--non-idempotent-share", 0, 1);
  workload->stream_share = reader.Number("--stream-share", 0, 1);
  workload->seed =
      static_cast<std::uint64_t>(reader.Integer("--seed", 0, INT64_MAX / 1000));
}

RunOptions ReadRunOptions(OptionReader& reader) {
  constexpr double kMaxRate = 1e6;
  constexpr double kMaxSeconds = 1e6;
  constexpr std::int64_t kMaxCallers = 100'000;
  constexpr std::int64_t kMaxThreads = 64;
  constexpr std::int64_t kMaxDurationMs = 3'600'000;
  RunOptions options;
  LoadPlan& plan = options.plan;
  Addresses addresses;
  Findings findings;
  if (reader.Flag("direct")) {
    const Target target{"direct", reader.Text("--url")};
    addresses.instances = {target};
    addresses.endpoints = {target};
    addresses.services = {{reader.Text("--service"), reader.Flag("--plain")}};
  } else {
    addresses = ReadAddresses(reader.Text("--addresses"), &findings);
    plan.plain_prefix = "/services/";
    reader.Required("--token-file");
  }
  for (const Finding& finding : findings.items()) {
    reader.AddFinding(finding.place, finding.message);
  }
  ReadWorkload(reader, addresses, &plan.workload);
  plan.targets = addresses.instances;
  options.endpoints = addresses.endpoints;
  plan.token = ReadToken(reader);
  plan.rate = reader.Number("--rate", 0, kMaxRate);
  plan.seconds = reader.Number("--seconds", 0, kMaxSeconds);
  plan.requests = reader.Integer("--requests", 0, INT64_MAX);
  plan.concurrency = reader.Integer("--concurrency", 1, kMaxCallers);
  plan.workers =
      std::min(reader.Integer("--threads", 1, kMaxThreads), plan.concurrency);
  plan.timeout_ms = reader.Integer("--patience-ms", 1, kMaxDurationMs);
  options.settle_ms = reader.Integer("--settle-ms", 0, kMaxDurationMs);
  options.history_path = reader.Text("--history");
  options.faults_path = reader.Text("--faults");
  options.show_progress = isatty(STDERR_FILENO) == 1;
  reader.Choice("--format", {"text", "json"});
  if (reader.Flag("--check") && options.history_path.empty()) {
    reader.AddFinding("--check", "needs --history");
  }
  return options;
}

int RunCallers(OptionReader& reader) {
  RunOptions options = ReadRunOptions(reader);
  if (!reader.findings().empty()) {
    reader.PrintFindings();
    return kExitUsage;
  }
  RaiseOpenFilesLimit();
  const std::string history_path = options.history_path;
  const RunResult result = RunLoad(std::move(options));
  if (!result.failure.empty()) {
    fmt::print(stderr, "{}\n", result.failure);
    return EXIT_FAILURE;
  }
  json report = result.totals.ToJson();
  bool clean = true;
  if (reader.Flag("--check")) clean = Check(history_path, "", "", &report);
  if (reader.Text("--format") == "json") {
    fmt::print("{}\n", report.dump(2));
    return clean ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  fmt::print("{}", FormatTable(report));
  if (report.contains("violations")) {
    PrintViolations(report);
    fmt::print("\n{} attempts checked, {} violations\n",
               report["checked"].get<std::size_t>(),
               report["violations"].get<std::size_t>());
  }
  return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}

int Run(int argc, char** argv) {
  OptionReader reader(docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                     CASSIAUSHER_VERSION));
  return reader.Flag("check") ? RunCheck(reader) : RunCallers(reader);
}

}  // namespace
}  // namespace cassiausher

int main(int argc, char** argv) { return cassiausher::Run(argc, argv); }
