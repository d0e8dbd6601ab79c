// State shared by the services of the control task, and used only on that task.
#ifndef MAIN_DAEMON_CONTROL_CONTEXT_H_
#define MAIN_DAEMON_CONTROL_CONTEXT_H_

#include <glib.h>

#include <cstdint>
#include <functional>

#include "core/metrics.h"
#include "core/settings.h"
#include "core/units.h"
#include "main/daemon/messages.h"
#include "proto/gen/control.pb.h"

namespace cassiausher {

struct ControlContext {
  const Settings& settings;
  Metrics& metrics;
  GMainContext* main_context = nullptr;
  int serving_tasks = 0;
  /// Identifies this run of the process.
  Incarnation incarnation{0};
  /// Never blocks; a message that can't be sent is dropped and counted.
  std::function<void(const InstanceId&, proto::Envelope&)> send;
  std::function<void(int serving_task, ServingMessage)> to_serving;
  /// Posts to the control task itself. Thread-safe.
  std::function<void(ControlMessage)> post;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_CONTROL_CONTEXT_H_
