// cassiausherd: reads its arguments and settings, then runs the daemon.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "core/log.h"
#include "core/settings.h"
#include "drivers/process_setup.h"
#include "main/daemon/daemon.h"

namespace {

constexpr char kUsage[] =
    R"(cassiausherd - router for separate prefill and decode pools

Usage:
  cassiausherd --config FILE [--check]
  cassiausherd --help
  cassiausherd --version

Options:
  --config FILE  Settings in JSON; docs/operators/settings.md lists them.
  --check        Check the settings, print every finding and exit.
  --help         Print this text.
  --version      Print the version.

Exit codes: 0 ended by a signal or checked without findings, 2 wrong arguments or
settings.
)";

constexpr int kExitBadSettings = 2;

// An open stream uses one descriptor for its caller and one for its engine; the
// others are for listeners, peers and short calls.
constexpr std::int64_t kDescriptorsPerRequest = 2;
constexpr std::int64_t kOtherDescriptors = 300;

// Lowers the number of open requests to what the descriptor limit allows:
// without descriptors the admin listener couldn't answer either.
void FitToDescriptorLimit(cassiausher::Settings::Limits* limits) {
  const std::int64_t max_requests =
      (std::int64_t{cassiausher::DescriptorLimit()} - kOtherDescriptors) /
      kDescriptorsPerRequest;
  if (max_requests >= limits->open_requests) return;
  cassiausher::Log(cassiausher::LogLevel::kWarning, "open_requests_reduced",
                   {{"from", limits->open_requests}, {"to", max_requests}});
  limits->open_requests = std::max<std::int64_t>(max_requests, 1);
}

}  // namespace

int main(int argc, char** argv) {
  cassiausher::OpenStandardDescriptors();
  // Until the daemon handles them, a reload would change nothing and there is
  // no state to print (SIGUSR1, ignored with the others). By default these
  // signals end the process.
  std::signal(SIGHUP, SIG_IGN);
  cassiausher::IgnoreStraySignals();
  cassiausher::LogFaults();
  using cassiausher::Findings;
  std::map<std::string, docopt::value> arguments;
  try {
    arguments = docopt::docopt_parse(
        kUsage, std::vector<std::string>(argv + 1, argv + argc), true, true);
  } catch (const docopt::DocoptExitHelp&) {
    fmt::print("{}", kUsage);
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    fmt::print("cassiausherd {}\n", CASSIAUSHER_VERSION);
    return 0;
  } catch (const docopt::DocoptArgumentError& error) {
    fmt::print(stderr, "{}\n\n{}", error.what(), kUsage);
    return kExitBadSettings;
  }
  Findings findings;
  cassiausher::Settings settings =
      cassiausher::LoadSettings(arguments["--config"].asString(), &findings);
  for (const cassiausher::Finding& finding : findings.items()) {
    fmt::print(stderr, "{}: {}\n", finding.place, finding.message);
  }
  if (!findings.empty()) return kExitBadSettings;
  if (arguments["--check"].asBool()) {
    fmt::print("the settings are valid\n");
    return 0;
  }
  // Asks for an end, like SIGTERM. By default it leaves a core dump.
  cassiausher::RedirectSignal(SIGQUIT, SIGTERM);
  cassiausher::ConfigureLog(settings.log.level, settings.instance.value());
  cassiausher::RaiseDescriptorLimit();
  FitToDescriptorLimit(&settings.limits);
  cassiausher::Daemon daemon(std::move(settings),
                             arguments["--config"].asString());
  daemon.Run();
  return 0;
}
