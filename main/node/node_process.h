// The process of one instance: its settings, its role and its signals. A start
// doesn't give up at an obstacle that may pass, such as an address that the
// process before still holds.
#ifndef MAIN_NODE_NODE_PROCESS_H_
#define MAIN_NODE_NODE_PROCESS_H_

#include <glib.h>

#include <memory>
#include <string>

#include "core/findings.h"
#include "core/metrics.h"
#include "core/time.h"
#include "drivers/http_server.h"
#include "drivers/loop_watch.h"
#include "main/node/client_limits.h"
#include "main/node/control_node.h"
#include "main/node/entry_node.h"
#include "main/node/node_settings.h"
#include "platform/configuration_document.h"

namespace cassiausher {

enum class Role { kEntry, kControl };

/// Runs on the main thread, in the default context.
class NodeProcess {
 public:
  NodeProcess(Role role, std::string settings_file);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// Reads and checks the settings. Returns whether they can be used.
  bool Load(NodeSettings* settings, Findings* findings) const;
  /// Returns once a signal has ended the instance.
  void Run(const NodeSettings& settings);

 private:
  void WatchSignals();
  /// Opens the listeners of the role; tries again later if that fails.
  void TryStart(Time now);
  std::string StartRole();
  void OnStartFailed(const std::string& error, Time now);
  void TryServeMetrics();
  void RenderMetrics(HttpExchange& exchange);
  void Terminate();
  void Reload(bool by_signal);
  bool Drained() const;
  void LogCut();

  Role role_;
  std::string settings_file_;
  NodeSettings settings_;
  GMainLoop* loop_;
  Metrics metrics_;
  LoopWatch loop_watch_{g_main_context_default(), metrics_};
  ConfigurationDocumentCodec codec_;
  ClientLimits limits_;
  /// At most one of them exists; none while the start waits for an obstacle to
  /// pass.
  std::unique_ptr<EntryNode> entry_;
  std::unique_ptr<ControlNode> control_;
  std::unique_ptr<HttpServer> metrics_server_;
  bool serves_metrics_ = false;
  bool metrics_failure_logged_ = false;
  GSourcePtr start_timer_;
  Time started_at_{};
  Time next_wait_line_{};
};

}  // namespace cassiausher

#endif  // MAIN_NODE_NODE_PROCESS_H_
