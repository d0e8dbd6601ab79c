// Command line of the silent relay.
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <glib-unix.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "core/log.h"
#include "tools/fake_endpoint/option_reader.h"
#include "tools/load/silent_relay/silent_relay.h"

namespace cassiausher {
namespace {

constexpr char kUsage[] =
    R"(cassiausher_relay - TCP relay that can silence connections

Forwards bytes between its callers and one target. On SIGUSR1 all open
connections stay open but forward nothing more; new connections work.

Usage:
  cassiausher_relay --listen ADDRESS --to ADDRESS
  cassiausher_relay -h | --help
  cassiausher_relay --version

Options:
  --listen ADDRESS  Numeric address and port; port 0 picks a free one.
  --to ADDRESS      Address and port of the target.
  -h --help         Show this page.
  --version         Show the version.
)";

int Run(int argc, char** argv) {
  const OptionReader reader(docopt::docopt(kUsage, {argv + 1, argv + argc},
                                           true, CASSIAUSHER_VERSION));
  RaiseOpenFilesLimit();
  ConfigureLog(LogLevel::kInfo, "relay");
  SilentRelay relay(reader.Text("--to"));
  const std::string failure = relay.Start(reader.Text("--listen"));
  if (!failure.empty()) {
    fmt::print(stderr, "--listen: {}\n", failure);
    return EXIT_FAILURE;
  }
  Log(LogLevel::kInfo, "listening", {{"port", relay.port()}});
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(
      SIGUSR1,
      [](gpointer data) -> gboolean {
        const int count =
            static_cast<SilentRelay*>(data)->SilenceOpenConnections();
        Log(LogLevel::kInfo, "connections_forgotten", {{"count", count}});
        return G_SOURCE_CONTINUE;
      },
      &relay);
  const GSourceFunc quit = [](gpointer data) -> gboolean {
    g_main_loop_quit(static_cast<GMainLoop*>(data));
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, quit, loop);
  g_unix_signal_add(SIGINT, quit, loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cassiausher

int main(int argc, char** argv) { return cassiausher::Run(argc, argv); }
