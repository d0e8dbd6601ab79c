// Entry point of cassiausher_node, which runs one role of a deployment.
#include <docopt/docopt.h>
#include <glib-unix.h>
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/log.h"
#include "core/metrics.h"
#include "drivers/clock.h"
#include "drivers/drain_watch.h"
#include "drivers/http_server.h"
#include "main/node/control_node.h"
#include "main/node/entry_node.h"
#include "main/node/node_settings.h"
#include "modules/file_log/register_types.h"
#include "platform/configuration_document.h"

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
constexpr std::uint16_t kMetricsPort = 9464;
constexpr guint kReloadPeriodMs = 5000;
// Larger buffers are mapped each by itself.
constexpr int kMappedBufferBytes = 128 << 10;
// After a role has ended, callers of the metrics and callers that were refused
// last get this long to take their answers.
constexpr Duration kLastDrainTimeout = Milliseconds(200);
// A slow reader of the log gets this long to take the last lines.
constexpr Duration kLogFlushTimeout = Milliseconds(200);

enum class Role { kEntry, kControl };

// One process: its settings, its role and its signals.
class Node {
 public:
  Node(Role role, std::string settings_file)
      : role_(role),
        settings_file_(std::move(settings_file)),
        loop_(g_main_loop_new(nullptr, FALSE)) {}

  ~Node() {
    entry_.reset();
    control_.reset();
    metrics_server_.reset();
    g_main_loop_unref(loop_);
  }

  bool Load(NodeSettings* settings, Findings* findings) const {
    std::string text;
    if (!ReadFile(settings_file_, &text, findings)) return false;
    *settings = ReadNodeSettings(text, settings_file_, findings);
    const bool entry = role_ == Role::kEntry;
    if (entry && (!settings->callers || !settings->readiness)) {
      findings->Add("/listen", "an entry instance needs callers and readiness");
    }
    if (!entry && !settings->control) {
      findings->Add("/listen/control", "is missing");
    }
    if (!entry && settings->data_folder.empty()) {
      findings->Add("/data_folder", "a control instance needs a disk");
    }
    return findings->empty();
  }

  int Run() {
    NodeSettings settings;
    Findings findings;
    if (!Load(&settings, &findings)) return PrintFindings(findings);
    ConfigureLog(LogLevel::kInfo, settings.instance);
    Log(LogLevel::kInfo, "started",
        {{"role", role_ == Role::kEntry ? "entry" : "control"},
         {"version", CASSIAUSHER_VERSION},
         {"data_centre", settings.data_centre.value()},
         {"first_start", settings.first_start}});
    // The loop handles signals that arrive during the start.
    WatchSignals();
    const std::string error = StartRole(settings);
    if (!error.empty()) {
      Log(LogLevel::kError, "start_failed", {{"error", error}});
      return EXIT_FAILURE;
    }
    ServeMetrics(settings);
    g_main_loop_run(loop_);
    metrics_server_->StopListening();
    RunUntilDrained(
        g_main_context_default(), [this] { return Drained(); },
        BootTimeNow() + kLastDrainTimeout);
    if (entry_) entry_->LogCut();
    if (control_) control_->LogCut();
    LogCutAnswers(metrics_server_->UnsentAnswers(), "metrics", metrics_);
    Log(LogLevel::kInfo, "stopped", {});
    return EXIT_SUCCESS;
  }

  static int PrintFindings(const Findings& findings) {
    for (const Finding& finding : findings.items()) {
      std::fprintf(stderr, "%s: %s\n", finding.place.c_str(),
                   finding.message.c_str());
    }
    return kExitBadSettings;
  }

 private:
  std::string StartRole(const NodeSettings& settings) {
    GMainContext* context = g_main_context_default();
    if (role_ == Role::kEntry) {
      entry_ = std::make_unique<EntryNode>(settings, codec_, metrics_, context);
      return entry_->Start();
    }
    RegisterFileLog();
    control_ =
        std::make_unique<ControlNode>(settings, codec_, metrics_, context);
    return control_->Start();
  }

  void ServeMetrics(const NodeSettings& settings) {
    metrics_server_ = std::make_unique<HttpServer>(
        HttpServerOptions{
            .address = settings.ip, .port = kMetricsPort, .metrics = &metrics_},
        [this](HttpExchangePtr exchange) {
          metrics_.gauge("log_lines_left_out")
              .Set(static_cast<std::int64_t>(DroppedLogLines()));
          exchange->Respond(200, "text/plain; version=0.0.4",
                            metrics_.Render());
        },
        [](int, std::string_view message) { return std::string(message); });
    const std::string error = metrics_server_->Listen(g_main_context_default());
    // An instance without metrics still serves.
    if (!error.empty()) {
      Log(LogLevel::kError, "metrics_failed", {{"error", error}});
    }
  }

  void WatchSignals() {
    g_unix_signal_add(SIGTERM, OnTerminate, this);
    g_unix_signal_add(SIGINT, OnTerminate, this);
    g_unix_signal_add(SIGHUP, OnReload, this);
    // The settings file may also change without a signal.
    g_timeout_add(kReloadPeriodMs, OnReloadTimer, this);
  }

  static gboolean OnTerminate(gpointer data) {
    auto* self = static_cast<Node*>(data);
    Log(LogLevel::kInfo, "stopping", {});
    const auto on_done = [self] { g_main_loop_quit(self->loop_); };
    self->metrics_server_->BeginDrain();
    if (self->entry_) {
      self->entry_->Shutdown(on_done);
    } else {
      self->control_->Shutdown(on_done);
    }
    return G_SOURCE_CONTINUE;
  }

  bool Drained() const {
    return metrics_server_->Drained() && (!entry_ || entry_->Drained()) &&
           (!control_ || control_->Drained());
  }

  static gboolean OnReload(gpointer data) {
    static_cast<Node*>(data)->Reload(true);
    return G_SOURCE_CONTINUE;
  }

  static gboolean OnReloadTimer(gpointer data) {
    static_cast<Node*>(data)->Reload(false);
    return G_SOURCE_CONTINUE;
  }

  void Reload(bool by_signal) {
    NodeSettings settings;
    Findings findings;
    if (!Load(&settings, &findings)) {
      Log(LogLevel::kError, "reload_refused",
          {{"findings", ToString(findings)}});
      return;
    }
    if (by_signal) Log(LogLevel::kInfo, "reloaded", {});
    if (entry_) entry_->Reload(settings);
    if (control_) control_->Reload(settings);
  }

  Role role_;
  std::string settings_file_;
  GMainLoop* loop_;
  Metrics metrics_;
  ConfigurationDocumentCodec codec_;
  std::unique_ptr<EntryNode> entry_;
  std::unique_ptr<ControlNode> control_;
  std::unique_ptr<HttpServer> metrics_server_;
};

int Main(int argc, char** argv) {
  // Until the settings are read, a reload would change nothing. By default the
  // signal ends the process.
  std::signal(SIGHUP, SIG_IGN);
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
  Node node(role, file);
  if (arguments.at("--check").asBool()) {
    NodeSettings settings;
    Findings findings;
    return node.Load(&settings, &findings) ? EXIT_SUCCESS
                                           : Node::PrintFindings(findings);
  }
  SetLogFormat(LogFormat::kJson);
  // Writing to a closed connection returns an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  return node.Run();
}

}  // namespace
}  // namespace cassiausher

int main(int argc, char** argv) {
  // Returns large buffers to the system when they are freed. Without a fixed
  // size glibc keeps them, and the process stays as large as in its largest
  // burst.
  mallopt(M_MMAP_THRESHOLD, cassiausher::kMappedBufferBytes);
  const int status = cassiausher::Main(argc, argv);
  cassiausher::FlushLog(cassiausher::kLogFlushTimeout);
  return status;
}
