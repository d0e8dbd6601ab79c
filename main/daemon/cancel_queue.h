// Cancels requests at endpoints. Each cancel is retried, with a growing delay,
// until the endpoint confirms it or the attempts run out.
#ifndef MAIN_DAEMON_CANCEL_QUEUE_H_
#define MAIN_DAEMON_CANCEL_QUEUE_H_

#include <list>
#include <memory>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "main/daemon/serving_context.h"

namespace cassiausher {

class CancelQueue {
 public:
  explicit CancelQueue(ServingContext& context);
  ~CancelQueue();

  void Add(const RequestId& request, const EndpointId& endpoint,
           const std::string& url, const PoolAddress& pool, Time now);
  /// Sends cancels that are due and times out unanswered ones. Call it every
  /// few milliseconds.
  void Tick(Time now);
  bool empty() const { return jobs_.empty(); }

 private:
  class Job;
  ServingContext& context_;
  std::list<std::unique_ptr<Job>> jobs_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_CANCEL_QUEUE_H_
