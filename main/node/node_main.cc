// Entry point of cassiausher_node, which runs one role of a deployment.
#include <docopt/docopt.h>
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "core/log.h"
#include "drivers/process_setup.h"
#include "main/node/node_process.h"

namespace cassiausher {
namespace {

constexpr const char* kUsage =
    R"(cassiausher_node: one instance of cassiausher on a platform.

Usage:
  cassiausher_node entry [--settings FILE] [--check]
  cassiausher_node control [--settings FILE] [--check]
  cassiausher_node (-h | --help)
  cassiausher_node --version

Roles:
  entry    takes callers' requests and forwards them to endpoints
  control  keeps the configuration and the registry of endpoints

Options:
  --settings FILE  settings in JSON; without it, the file that the environment
                   variable CASSIAUSHER_SETTINGS names
  --check          only check the settings
  -h --help        show this text
  --version        show the version
)";

constexpr int kExitBadSettings = 2;
// Larger buffers are mapped each by itself.
constexpr int kMappedBufferBytes = 128 << 10;
// A slow reader of the log gets this long to take the last lines.
constexpr Duration kLogFlushTimeout = Milliseconds(200);

int PrintFindings(const Findings& findings) {
  for (const Finding& finding : findings.items()) {
    std::fprintf(stderr, "%s: %s\n", finding.place.c_str(),
                 finding.message.c_str());
  }
  return kExitBadSettings;
}

// The log may be all that is kept of the process.
int RefuseSettings(const Findings& findings) {
  Log(LogLevel::kError, "settings_refused", {{"findings", ToString(findings)}});
  return PrintFindings(findings);
}

int Main(int argc, char** argv) {
  OpenStandardDescriptors();
  // Until the settings are read, a reload would change nothing. By default the
  // signal ends the process.
  std::signal(SIGHUP, SIG_IGN);
  IgnoreStraySignals();
  LogFaults();
  const std::vector<std::string> args(argv + 1, argv + argc);
  const std::map<std::string, docopt::value> arguments = docopt::docopt(
      kUsage, args, true, "cassiausher_node " CASSIAUSHER_VERSION);
  std::string file;
  if (arguments.at("--settings")) {
    file = arguments.at("--settings").asString();
  } else if (const char* named = std::getenv("CASSIAUSHER_SETTINGS")) {
    file = named;
  }
  const Role role =
      arguments.at("entry").asBool() ? Role::kEntry : Role::kControl;
  NodeProcess process(role, file);
  NodeSettings settings;
  Findings findings;
  const bool usable = process.Load(&settings, &findings);
  if (arguments.at("--check").asBool()) {
    return usable ? EXIT_SUCCESS : PrintFindings(findings);
  }
  SetLogFormat(LogFormat::kJson);
  if (!usable) return RefuseSettings(findings);
  // Asks for an end, like SIGTERM. By default it leaves a core dump.
  RedirectSignal(SIGQUIT, SIGTERM);
  RaiseDescriptorLimit();
  process.Run(settings);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cassiausher

int main(int argc, char** argv) {
  // Returns large buffers to the system when they are freed. Without a fixed
  // size glibc keeps them, and the process stays as large as in its largest
  // burst.
  mallopt(M_MMAP_THRESHOLD, cassiausher::kMappedBufferBytes);
  cassiausher::LimitThreadMemory();
  const int status = cassiausher::Main(argc, argv);
  cassiausher::FlushLog(cassiausher::kLogFlushTimeout);
  return status;
}
