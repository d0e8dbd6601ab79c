#include "main/node/node_process.h"

#include <dirent.h>
#include <glib-unix.h>

#include <csignal>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/drain_watch.h"
#include "drivers/process_setup.h"
#include "modules/file_log/register_types.h"

namespace cassiausher {
namespace {

constexpr std::uint16_t kMetricsPort = 9464;
constexpr guint kReloadPeriodMs = 5000;
// Interval between attempts to start, short beside the time for which an
// instance may be out of service.
constexpr Duration kStartRetryPeriod = Milliseconds(100);
constexpr Duration kWaitLinePeriod = Seconds(5);
// After a role has ended, callers of the metrics and callers that were refused
// last get this long to take their answers.
constexpr Duration kLastDrainTimeout = Milliseconds(200);

std::int64_t CountOpenDescriptors() {
  DIR* folder = opendir("/proc/self/fd");
  if (folder == nullptr) return -1;
  std::int64_t count = 0;
  while (const dirent* item = readdir(folder)) {
    count += item->d_name[0] == '.' ? 0 : 1;
  }
  closedir(folder);
  // One of them is that of the folder.
  return count - 1;
}

}  // namespace

NodeProcess::NodeProcess(Role role, std::string settings_file)
    : role_(role),
      settings_file_(std::move(settings_file)),
      loop_(g_main_loop_new(nullptr, FALSE)) {}

NodeProcess::~NodeProcess() {
  entry_.reset();
  control_.reset();
  metrics_server_.reset();
  g_main_loop_unref(loop_);
}

bool NodeProcess::Load(NodeSettings* settings, Findings* findings) const {
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

void NodeProcess::Run(const NodeSettings& settings) {
  settings_ = settings;
  limits_ = MakeClientLimits(settings_.memory_mb.value_or(
      role_ == Role::kEntry ? kEntryMemoryMb : kControlMemoryMb));
  ConfigureLog(LogLevel::kInfo, settings_.instance);
  Log(LogLevel::kInfo, "started",
      {{"role", role_ == Role::kEntry ? "entry" : "control"},
       {"version", CASSIAUSHER_VERSION},
       {"data_centre", settings_.data_centre.value()},
       {"first_start", settings_.first_start}});
  started_at_ = BootTimeNow();
  if (role_ == Role::kControl) RegisterFileLog();
  // The loop handles signals that arrive during the start.
  WatchSignals();
  TryServeMetrics();
  TryStart(started_at_);
  g_main_loop_run(loop_);
  metrics_server_->StopListening();
  RunUntilDrained(
      g_main_context_default(), [this] { return Drained(); },
      BootTimeNow() + kLastDrainTimeout);
  LogCut();
  Log(LogLevel::kInfo, "stopped", {});
}

void NodeProcess::WatchSignals() {
  const GSourceFunc on_terminate = [](gpointer self) -> gboolean {
    static_cast<NodeProcess*>(self)->Terminate();
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, on_terminate, this);
  g_unix_signal_add(SIGINT, on_terminate, this);
  g_unix_signal_add(
      SIGHUP,
      [](gpointer self) -> gboolean {
        static_cast<NodeProcess*>(self)->Reload(true);
        return G_SOURCE_CONTINUE;
      },
      this);
  // The settings file may also change without a signal.
  g_timeout_add(
      kReloadPeriodMs,
      [](gpointer data) -> gboolean {
        auto* self = static_cast<NodeProcess*>(data);
        self->Reload(false);
        self->TryServeMetrics();
        return G_SOURCE_CONTINUE;
      },
      this);
}

// --- Start -----------------------------------------------------------------

void NodeProcess::TryStart(Time now) {
  const std::string error = StartRole();
  if (!error.empty()) return OnStartFailed(error, now);
  start_timer_.reset();
  metrics_.gauge("start_waits").Set(0);
  Log(LogLevel::kInfo, "serving",
      {{"start_ms", ToMilliseconds(now - started_at_)}});
}

std::string NodeProcess::StartRole() {
  GMainContext* context = g_main_context_default();
  if (role_ == Role::kEntry) {
    entry_ = std::make_unique<EntryNode>(settings_, codec_, metrics_, context,
                                         limits_);
    return entry_->Start();
  }
  control_ = std::make_unique<ControlNode>(settings_, codec_, metrics_, context,
                                           limits_);
  return control_->Start();
}

void NodeProcess::OnStartFailed(const std::string& error, Time now) {
  // What it has opened so far is opened anew.
  entry_.reset();
  control_.reset();
  metrics_.gauge("start_waits").Set(1);
  if (now >= next_wait_line_) {
    next_wait_line_ = now + kWaitLinePeriod;
    Log(LogLevel::kError, "start_waits",
        {{"error", error}, {"waited_ms", ToMilliseconds(now - started_at_)}});
  }
  if (start_timer_) return;
  start_timer_ = AddTimer(g_main_context_default(), kStartRetryPeriod,
                          [this] { TryStart(BootTimeNow()); });
}

// An instance without metrics still serves.
void NodeProcess::TryServeMetrics() {
  if (serves_metrics_) return;
  metrics_server_ = std::make_unique<HttpServer>(
      HttpServerOptions{.address = settings_.ip,
                        .port = kMetricsPort,
                        .metrics = &metrics_,
                        .max_descriptor = MaxServedDescriptor(),
                        .memory = limits_.memory},
      [this](HttpExchangePtr exchange) { RenderMetrics(*exchange); },
      [](int, std::string_view message) { return std::string(message); });
  const std::string error = metrics_server_->Listen(g_main_context_default());
  serves_metrics_ = error.empty();
  if (serves_metrics_ || std::exchange(metrics_failure_logged_, true)) return;
  Log(LogLevel::kError, "metrics_failed", {{"error", error}});
}

void NodeProcess::RenderMetrics(HttpExchange& exchange) {
  metrics_.gauge("log_lines_left_out")
      .Set(static_cast<std::int64_t>(DroppedLogLines()));
  metrics_.gauge("client_memory_bytes").Set(limits_.memory->held());
  metrics_.gauge("client_memory_limit_bytes").Set(limits_.memory->limit());
  metrics_.gauge("process_open_fds").Set(CountOpenDescriptors());
  metrics_.gauge("process_max_fds").Set(DescriptorLimit());
  metrics_.gauge("process_uptime_seconds")
      .Set((BootTimeNow() - started_at_) / Seconds(1));
  exchange.Respond(200, "text/plain; version=0.0.4", metrics_.Render());
}

// --- Signals ---------------------------------------------------------------

void NodeProcess::Terminate() {
  Log(LogLevel::kInfo, "stopping", {});
  start_timer_.reset();
  metrics_server_->BeginDrain();
  const auto on_done = [this] { g_main_loop_quit(loop_); };
  if (entry_) {
    entry_->Shutdown(on_done);
  } else if (control_) {
    control_->Shutdown(on_done);
  } else {
    on_done();
  }
}

void NodeProcess::Reload(bool by_signal) {
  NodeSettings settings;
  Findings findings;
  if (!Load(&settings, &findings)) {
    Log(LogLevel::kError, "reload_refused", {{"findings", ToString(findings)}});
    return;
  }
  if (by_signal) Log(LogLevel::kInfo, "reloaded", {});
  if (entry_) {
    entry_->Reload(settings);
  } else if (control_) {
    control_->Reload(settings);
  } else {
    settings_ = settings;
  }
}

bool NodeProcess::Drained() const {
  return metrics_server_->Drained() && (!entry_ || entry_->Drained()) &&
         (!control_ || control_->Drained());
}

void NodeProcess::LogCut() {
  if (entry_) entry_->LogCut();
  if (control_) control_->LogCut();
  LogCutAnswers(metrics_server_->UnsentAnswers(), "metrics", metrics_);
}

}  // namespace cassiausher
