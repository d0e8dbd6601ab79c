#include "main/daemon/daemon.h"

#include <glib-unix.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "main/daemon/register_modules.h"

namespace cassiausher {
namespace {

constexpr guint kShutdownPollMs = 20;
// A held address is tried this often; what holds it is told less often.
constexpr Duration kStartRetryPeriod = Milliseconds(100);
constexpr Duration kWaitLinePeriod = Seconds(10);
constexpr const char* kDefaultPolicy = "reserving";

}  // namespace

Daemon::Daemon(Settings settings, std::string settings_file)
    : settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      loop_(g_main_loop_new(nullptr, FALSE)),
      shutdown_(Milliseconds(settings_.limits.shutdown_ms)) {
  RegisterPolicies(policies_);
  RegisterEndpointDrivers(drivers_);
  RegisterLogStorages();
  driver_ = drivers_.Create("openai");
}

Daemon::~Daemon() {
  start_timer_.reset();
  // Tasks post to each other, so all threads end before a task is destroyed.
  // Last answers to operators may need the serving tasks, and both the control
  // task, whose end takes up to 200 ms.
  if (admin_) admin_->Stop();
  for (auto& task : serving_) task->Stop();
  if (control_) control_->Stop();
  control_.reset();
  admin_.reset();
  serving_.clear();
  g_main_loop_unref(loop_);
}

void Daemon::CreateTasks() {
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

  unstarted_.push_back(
      {control_.get(),
       [this]() -> const std::string& { return control_->listen_error(); },
       "peer"});
  for (const auto& task : serving_) {
    unstarted_.push_back({task.get(),
                          [task = task.get()]() -> const std::string& {
                            return task->listen_error();
                          },
                          "caller"});
  }
  unstarted_.push_back(
      {admin_.get(),
       [this]() -> const std::string& { return admin_->listen_error(); },
       "admin"});
}

std::string Daemon::StartTasks() {
  while (!unstarted_.empty()) {
    const Unstarted& next = unstarted_.front();
    next.task->Start();
    const std::string error = next.listen_error();
    if (!error.empty()) {
      next.task->Stop();
      return next.listener + " listener: " + error;
    }
    unstarted_.pop_front();
  }
  return {};
}

void Daemon::TryStart(Time now) {
  const std::string error = StartTasks();
  if (!error.empty()) return OnStartFailed(error, now);
  start_timer_.reset();
  Log(LogLevel::kInfo, "started",
      {{"caller", settings_.listen.caller.ToString()},
       {"admin", settings_.listen.admin.ToString()},
       {"peer", settings_.listen.peer.ToString()}});
}

void Daemon::OnStartFailed(const std::string& error, Time now) {
  if (now >= next_wait_line_) {
    next_wait_line_ = now + kWaitLinePeriod;
    Log(LogLevel::kError, "start_waits",
        {{"error", error}, {"waited_ms", ToMilliseconds(now - started_at_)}});
  }
  if (start_timer_) return;
  start_timer_ = AddTimer(g_main_context_default(), kStartRetryPeriod,
                          [this] { TryStart(MonotonicNow()); });
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

void Daemon::BeginShutdown() {
  start_timer_.reset();
  const bool serves_callers = unstarted_.size() <= 1;
  if (!serves_callers) return g_main_loop_quit(loop_);
  if (!shutdown_.Begin(MonotonicNow())) return;
  Log(LogLevel::kInfo, "shutdown_started",
      {{"open_requests", metrics_.gauge("requests_open").value()}});
  admin_->Post(DrainRequested{});
  control_->Post(ShutdownRequested{});
  for (const auto& task : serving_) task->Post(ShutdownRequested{});
  g_timeout_add(
      kShutdownPollMs,
      [](gpointer data) -> gboolean {
        auto* self = static_cast<Daemon*>(data);
        if (self->AdvanceShutdown(MonotonicNow())) return G_SOURCE_CONTINUE;
        g_main_loop_quit(self->loop_);
        return G_SOURCE_REMOVE;
      },
      this);
}

ShutdownReport Daemon::Report() const {
  return {.handed_over = control_->handed_over(),
          .callers_answered =
              std::all_of(serving_.begin(), serving_.end(),
                          [](const auto& task) { return task->drained(); }),
          .operators_answered = !unstarted_.empty() || admin_->drained(),
          .left = control_->left()};
}

void Daemon::EndRequests() {
  for (const auto& task : serving_) task->Post(EndRequestsOrdered{});
  control_->Post(EndRequestsOrdered{});
}

bool Daemon::AdvanceShutdown(Time now) {
  const ShutdownStep step = shutdown_.Advance(now, Report());
  if (step.end_requests) EndRequests();
  switch (step.action) {
    case ShutdownAction::kWait:
      return true;
    case ShutdownAction::kStopAdmin:
      admin_->Post(StopRequested{});
      return true;
    case ShutdownAction::kLeave:
      control_->Post(LeaveRequested{});
      return true;
    case ShutdownAction::kEndProcess:
      OrderEnd(shutdown_.AnswersDeadline());
      break;
  }
  return false;
}

void Daemon::OrderEnd(Time deadline) {
  admin_->Post(EndOrdered{deadline});
  for (const auto& task : serving_) task->Post(EndOrdered{deadline});
}

void Daemon::WatchSignals() {
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
}

void Daemon::Run() {
  // The loop handles signals that arrive during the start.
  WatchSignals();
  CreateTasks();
  started_at_ = MonotonicNow();
  TryStart(started_at_);
  g_main_loop_run(loop_);
  Log(LogLevel::kInfo, "stopped");
}

}  // namespace cassiausher
