// Observes how long requests take until their callers have read the answers,
// which slow callers do long after the answer was handed over.
#ifndef MAIN_NODE_READ_TIMES_H_
#define MAIN_NODE_READ_TIMES_H_

#include <list>

#include "core/time.h"
#include "drivers/http_exchange.h"
#include "servers/entry/completion_time.h"

namespace cassiausher {

/// Used on the task of its entry instance only.
class ReadTimes {
 public:
  /// The answer to a request that arrived at `arrived` was handed over.
  /// `completion`, which must outlive this object, is told when its caller has
  /// it.
  void Add(AnswerReceipt receipt, Time arrived, CompletionTime* completion);
  /// Call twice a second: an answer counts as read when that is first seen.
  void Poll(Time now);

 private:
  struct Unread {
    AnswerReceipt receipt;
    Time arrived{};
    CompletionTime* completion = nullptr;
  };

  /// Answers that their callers don't have yet, or didn't at the last Poll().
  std::list<Unread> unread_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_READ_TIMES_H_
