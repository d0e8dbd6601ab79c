// The daemon: creates the tasks from the settings, connects them, and shuts
// them down in order on a signal.
#ifndef MAIN_DAEMON_DAEMON_H_
#define MAIN_DAEMON_DAEMON_H_

#include <glib.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/settings.h"
#include "core/time.h"
#include "drivers/task.h"
#include "main/daemon/admin_task.h"
#include "main/daemon/control_task.h"
#include "main/daemon/serving_task.h"
#include "main/daemon/shutdown_sequence.h"
#include "servers/routing/routing_policy.h"
#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

class Daemon {
 public:
  /// `settings_file` is reloaded on SIGHUP.
  Daemon(Settings settings, std::string settings_file);
  ~Daemon();

  /// Runs until SIGTERM or SIGINT has ended it.
  void Run();

 private:
  /// A task that isn't started yet, and the error of its listener.
  struct Unstarted {
    Task* task;
    std::function<const std::string&()> listen_error;
    std::string listener;
  };

  void CreateTasks();
  /// Starts the tasks that aren't yet, until one can't listen. Returns its
  /// error, empty once all tasks run.
  std::string StartTasks();
  /// Tries again later if a task can't listen: the process before may still
  /// hold the address.
  void TryStart(Time now);
  void OnStartFailed(const std::string& error, Time now);
  /// Reloads tokens, and addresses and keys of peers. Changes nothing if the
  /// settings have findings.
  void Reload();
  void DumpState();
  void WatchSignals();
  void BeginShutdown();
  /// Takes the next step of the shutdown that is due. Returns false once the
  /// process may end.
  bool AdvanceShutdown(Time now);
  ShutdownReport Report() const;
  /// Ends requests that are open near the limit.
  void EndRequests();
  /// Lets the tasks send their last answers when they are stopped, but not
  /// beyond `deadline`.
  void OrderEnd(Time deadline);

  Settings settings_;
  std::string settings_file_;
  Metrics metrics_;
  RoutingPolicyRegistry policies_;
  EndpointDriverRegistry drivers_;
  std::unique_ptr<EndpointDriver> driver_;
  std::vector<std::unique_ptr<ServingTask>> serving_;
  std::unique_ptr<ControlTask> control_;
  std::unique_ptr<AdminTask> admin_;
  /// In order of their start: control, callers, admin. Readiness is thus asked
  /// for only once callers are served.
  std::deque<Unstarted> unstarted_;
  GSourcePtr start_timer_;
  Time started_at_{};
  Time next_wait_line_{};
  GMainLoop* loop_;
  ShutdownSequence shutdown_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_DAEMON_H_
