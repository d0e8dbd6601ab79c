// Command line of the fake endpoint.
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <glib-unix.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "core/log.h"
#include "tools/fake_endpoint/fake_endpoint.h"
#include "tools/fake_endpoint/option_reader.h"

namespace cassiausher {
namespace {

constexpr char kUsage[] =
    R"(cassiausher_fake_endpoint - simulated model engine or plain service

Serves the endpoint protocol of cassiausher with generated answers, for demos
and tests. GET /fake/state returns the held sessions and execution counts; POST
/fake/fault injects faults. On SIGTERM it announces its departure, finishes the
running requests and exits.

Usage:
  cassiausher_fake_endpoint --name NAME --service SERVICE [options]
  cassiausher_fake_endpoint -h | --help
  cassiausher_fake_endpoint --version

Options:
  --name NAME                 Name, unique in the deployment.
  --service SERVICE           Service that the endpoint belongs to.
  --data-centre NAME          Data centre [default: local].
  --role ROLE                 prefill, decode or plain [default: decode].
  --listen ADDRESS            Numeric address and port; 0 picks a free port
                              [default: 127.0.0.1:0].
  --announce URLS             Admin URLs of instances, separated by commas.
  --announce-token-file FILE  File with the endpoint token.
  --slots N                   Requests that decode concurrently [default: 20].
  --prefill-rate RATE         Prompt tokens per second [default: 20000].
  --step-ms MS                Time between tokens, 0 for as fast as possible;
                              processing time of a plain request [default: 20].
  --output-tokens N           Typical length of an answer in tokens; it varies
                              by prompt from 0.5 to 1.5 times this value
                              [default: 100].
  --retention-ms MS           Lifetime of a prefill result [default: 800].
  --link-bytes-per-second N   KV cache export bandwidth
                              [default: 1000000000].
  --kv-bytes-per-token N      KV cache size per token [default: 1000].
  --load-lag-ms MS            Age of reported load [default: 250].
  --fencing MODE              whether to honour or ignore fencing epochs; stale
                              ones are rejected or accepted [default: honour].
  --state-file FILE           Writes the final state to FILE on exit.
  --seed N                    Seed of random faults and lost cache events
                              [default: 1].
  -h --help                   Show this page.
  --version                   Show the version.

Faults (JSON body of POST /fake/fault; fields can be combined):
  {"stall_ms":N}              processing stops for N ms
  {"silence":true}            open connections send nothing more, permanently
  {"late_rate":P}             fraction of chunks sent after the next chunk
  {"repeat_rate":P}           fraction of chunks sent twice
  {"error_rate":P}            fraction of requests answered with status 500
  {"refuse_cancels":true}     cancel requests fail with status 500
  {"fencing":"ignore"}        stale epochs are accepted
  {"die_after_tokens":N}      the process exits after N more tokens
  {"depart":true}             announces the departure but keeps running
  {"clear":true}              ends all faults but silence, fencing and depart
)";

constexpr int kExitUsage = 2;

bool ParseListenAddress(const std::string& listen, EndpointOptions* options) {
  const std::size_t colon = listen.rfind(':');
  if (colon == std::string::npos) return false;
  const std::string port = listen.substr(colon + 1);
  constexpr int kMaxPort = 65535;
  char* end = nullptr;
  const long number = std::strtol(port.c_str(), &end, 10);
  if (port.empty() || *end != '\0' || number < 0 || number > kMaxPort) {
    return false;
  }
  options->host = listen.substr(0, colon);
  options->port = static_cast<std::uint16_t>(number);
  return true;
}

EndpointOptions ReadOptions(OptionReader& reader) {
  constexpr std::int64_t kMaxDurationMs = 600'000;
  constexpr double kMaxRate = 1e15;
  EndpointOptions options;
  options.name = reader.Required("--name");
  options.service = reader.Required("--service");
  options.data_centre = reader.Required("--data-centre");
  ParseRole(reader.Choice("--role", {"prefill", "decode", "plain"}),
            &options.role);
  if (!ParseListenAddress(reader.Text("--listen"), &options)) {
    reader.AddFinding("--listen", "is not ADDRESS:PORT");
  }
  options.announce_urls = Split(reader.Text("--announce"), ',');
  options.announce_token_file = reader.Text("--announce-token-file");
  options.slots = reader.Integer("--slots", 1, 1'000'000);
  options.prefill_tokens_per_second =
      reader.Number("--prefill-rate", 1, kMaxRate);
  options.step_ms = reader.Integer("--step-ms", 0, kMaxDurationMs);
  options.output_tokens = reader.Integer("--output-tokens", 1, 1'000'000);
  options.retention_ms = reader.Integer("--retention-ms", 1, kMaxDurationMs);
  options.link_bytes_per_second =
      reader.Number("--link-bytes-per-second", 1, kMaxRate);
  options.kv_bytes_per_token =
      reader.Integer("--kv-bytes-per-token", 0, 100'000'000);
  options.load_lag_ms = reader.Integer("--load-lag-ms", 0, kMaxDurationMs);
  options.honours_fencing =
      reader.Choice("--fencing", {"honour", "ignore"}) == "honour";
  options.seed =
      static_cast<std::uint64_t>(reader.Integer("--seed", 0, INT64_MAX));
  return options;
}

int Run(int argc, char** argv) {
  OptionReader reader(docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                     CASSIAUSHER_VERSION));
  const EndpointOptions options = ReadOptions(reader);
  if (!reader.findings().empty()) {
    reader.PrintFindings();
    return kExitUsage;
  }
  RaiseOpenFilesLimit();
  ConfigureLog(LogLevel::kInfo, options.name);
  FakeEndpoint endpoint(options);
  const std::string failure = endpoint.Start();
  if (!failure.empty()) {
    fmt::print(stderr, "{}\n", failure);
    return EXIT_FAILURE;
  }
  Log(LogLevel::kInfo, "listening", {{"url", endpoint.url()}});
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  struct ShutdownContext {
    FakeEndpoint* endpoint;
    GMainLoop* loop;
  } stop{&endpoint, loop};
  const GSourceFunc depart = [](gpointer data) {
    ShutdownContext* target = static_cast<ShutdownContext*>(data);
    target->endpoint->Depart([target] { g_main_loop_quit(target->loop); });
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  g_unix_signal_add(SIGTERM, depart, &stop);
  g_unix_signal_add(SIGINT, depart, &stop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  const std::string state_file = reader.Text("--state-file");
  if (!state_file.empty()) {
    std::ofstream(state_file) << endpoint.State().dump() << '\n';
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cassiausher

int main(int argc, char** argv) { return cassiausher::Run(argc, argv); }
