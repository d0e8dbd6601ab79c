// Objects shared by the parts of one serving task; used only on that task.
#ifndef MAIN_DAEMON_SERVING_CONTEXT_H_
#define MAIN_DAEMON_SERVING_CONTEXT_H_

#include <functional>

#include "core/metrics.h"
#include "core/settings.h"
#include "drivers/http_client.h"
#include "main/daemon/messages.h"
#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

/// Metrics of the serving path, looked up once.
struct ServingMetrics {
  explicit ServingMetrics(Metrics& metrics);

  Counter& requests;
  Counter& answered;
  Counter& refused;
  Counter& failed;
  Counter& unknown_outcome;
  Counter& cancelled;
  Counter& chunks;
  Counter& resumes;
  Counter& placed_again;
  Counter& cancels_sent;
  Counter& cancels_unconfirmed;
  Counter& replayed;
  Counter& slow_callers;
  Gauge& open;
  Gauge& claims;
  Distribution& first_token;
  Distribution& between_tokens;
};

class CancelQueue;

struct ServingContext {
  const Settings& settings;
  HttpClient& http;
  const EndpointDriver& driver;
  /// Set once, right after the queue is constructed with this context.
  CancelQueue* cancels = nullptr;
  ServingMetrics& metrics;
  std::function<void(ControlMessage)> to_control;
  /// Identifies this run of the process.
  Incarnation incarnation{0};
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_SERVING_CONTEXT_H_
