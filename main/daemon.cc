#include "main/daemon.h"

#include <glib-unix.h>

#include <cstdio>
#include <utility>

#include "core/log.h"
#include "main/register_modules.h"

namespace cassiausher {
namespace {

constexpr guint kShutdownPollMs = 20;
// Time to send the last messages: request progress and the membership leave.
constexpr guint kLeaveMs = 300;
constexpr const char* kDefaultPolicy = "reserving";

}  // namespace

Daemon::Daemon(Settings settings, std::string settings_file)
    : settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      loop_(g_main_loop_new(nullptr, FALSE)) {
  RegisterPolicies(policies_);
  RegisterEndpointDrivers(drivers_);
  RegisterLogStorages();
  driver_ = drivers_.Create("openai");
}

Daemon::~Daemon() {
  // Listeners are destroyed before the tasks that they post to.
  admin_.reset();
  if (control_) control_->Stop();
  for (auto& task : serving_) task->Stop();
  control_.reset();
  serving_.clear();
  g_main_loop_unref(loop_);
}

std::string Daemon::StartTasks() {
  const auto to_control = [this](ControlMessage message) {
    control_->Post(std::move(message));
  };
  const auto to_serving = [this](int index, ServingMessage message) {
    serving_[static_cast<std::size_t>(index)]->Post(std::move(message));
  };
  const Incarnation incarnation(static_cast<std::uint64_t>(g_get_real_time()));
  const int serving_tasks = static_cast<int>(settings_.limits.serving_tasks);
  control_ = std::make_unique<ControlTask>(
      ControlTaskOptions{.settings = settings_,
                         .policies = policies_,
                         .policy_name = kDefaultPolicy,
                         .curve_keys = {settings_.keys.curve_public_key,
                                        settings_.keys.curve_secret_key},
                         .incarnation = incarnation},
      metrics_, to_serving, serving_tasks);
  for (int i = 0; i < serving_tasks; ++i) {
    serving_.push_back(std::make_unique<ServingTask>(
        i, settings_, metrics_, *driver_, to_control, incarnation));
  }
  admin_ = std::make_unique<AdminTask>(settings_, metrics_, to_control);

  control_->Start();
  if (!control_->listen_error().empty()) return control_->listen_error();
  for (const auto& task : serving_) {
    task->Start();
    if (!task->listen_error().empty()) {
      return "caller listener: " + task->listen_error();
    }
  }
  admin_->Start();
  if (!admin_->listen_error().empty()) {
    return "admin listener: " + admin_->listen_error();
  }
  return {};
}

void Daemon::Reload() {
  Findings findings;
  Settings fresh = LoadSettings(settings_file_, &findings);
  if (findings.empty() && fresh.instance != settings_.instance) {
    findings.Add(settings_file_ + "#/instance", "can't change while running");
  }
  for (const Finding& finding : findings.items()) {
    Log(LogLevel::kError, "reload_refused",
        {{"place", finding.place}, {"what", finding.message}});
  }
  if (!findings.empty()) return;
  const auto keys = std::make_shared<const Settings::Keys>(fresh.keys);
  for (const auto& task : serving_) task->Post(KeysChanged{keys});
  admin_->Post(KeysChanged{keys});
  control_->Post(PeersChanged{fresh.peers});
  Log(LogLevel::kInfo, "reloaded", {{"file", settings_file_}});
}

void Daemon::DumpState() {
  control_->Post(DumpRequested{
      [](std::string json) { std::fprintf(stderr, "%s\n", json.c_str()); }});
}

bool Daemon::RequestsOpen() {
  return metrics_.gauge("requests_open").value() > 0 ||
         metrics_.gauge("claims_waiting").value() > 0;
}

void Daemon::BeginShutdown() {
  if (shutdown_deadline_us_ != 0) return;
  shutdown_deadline_us_ =
      g_get_monotonic_time() + settings_.limits.shutdown_ms * 1000;
  Log(LogLevel::kInfo, "shutdown_started",
      {{"open_requests", metrics_.gauge("requests_open").value()}});
  admin_->SetReady(false);
  control_->Post(ShutdownRequested{});
  for (const auto& task : serving_) task->Post(ShutdownRequested{});
  g_timeout_add(
      kShutdownPollMs,
      [](gpointer self) -> gboolean {
        auto* daemon = static_cast<Daemon*>(self);
        const bool expired =
            g_get_monotonic_time() >= daemon->shutdown_deadline_us_;
        const bool busy =
            daemon->RequestsOpen() || !daemon->control_->handed_over();
        if (busy && !expired) return G_SOURCE_CONTINUE;
        daemon->control_->Post(LeaveRequested{});
        g_timeout_add(
            kLeaveMs,
            [](gpointer loop) -> gboolean {
              g_main_loop_quit(static_cast<GMainLoop*>(loop));
              return G_SOURCE_REMOVE;
            },
            daemon->loop_);
        return G_SOURCE_REMOVE;
      },
      this);
}

int Daemon::Run() {
  const std::string error = StartTasks();
  if (!error.empty()) {
    Log(LogLevel::kError, "start_failed", {{"error", error}});
    return 1;
  }
  Log(LogLevel::kInfo, "started",
      {{"caller", settings_.listen.caller.ToString()},
       {"admin", settings_.listen.admin.ToString()},
       {"peer", settings_.listen.peer.ToString()}});
  const auto on_shutdown = [](gpointer self) -> gboolean {
    static_cast<Daemon*>(self)->BeginShutdown();
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, on_shutdown, this);
  g_unix_signal_add(SIGINT, on_shutdown, this);
  g_unix_signal_add(
      SIGHUP,
      [](gpointer self) -> gboolean {
        static_cast<Daemon*>(self)->Reload();
        return G_SOURCE_CONTINUE;
      },
      this);
  g_unix_signal_add(
      SIGUSR1,
      [](gpointer self) -> gboolean {
        static_cast<Daemon*>(self)->DumpState();
        return G_SOURCE_CONTINUE;
      },
      this);
  g_main_loop_run(loop_);
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

}  // namespace cassiausher
