// Target and body of a request as they are received. libsoup would keep each
// piece in a buffer of its own, which takes much more memory than its bytes if
// chunks are short.
#ifndef DRIVERS_RECEIVED_BODY_H_
#define DRIVERS_RECEIVED_BODY_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <memory>
#include <string>

#include "drivers/memory_budget.h"
#include "drivers/request_target.h"

namespace cassiausher {

struct ReceivedBody {
  ReceivedBody() = default;
  ~ReceivedBody();
  ReceivedBody(const ReceivedBody&) = delete;
  ReceivedBody& operator=(const ReceivedBody&) = delete;

  /// Charges to the budget, if there is one.
  bool Grow(std::int64_t more, Time now);

  RequestTarget target;
  /// Released when the request is refused.
  std::string bytes;
  /// Counts on after a refusal.
  std::int64_t received = 0;
  int pieces = 0;
  /// For the buffer of `bytes`.
  std::int64_t body_charge = 0;
  /// Of the head, with what the library takes for each field.
  std::int64_t head_charge = 0;
  /// Received since the last progress that counts.
  std::int64_t progress = 0;
  /// Holds all memory of the request until the message is destroyed; null if
  /// there is no limit.
  std::shared_ptr<MemoryBudget> budget;
  MemoryBudget::HolderId holder = 0;
};

/// Belongs to the message and is destroyed with it.
ReceivedBody& BodyOf(SoupServerMessage* message);

}  // namespace cassiausher

#endif  // DRIVERS_RECEIVED_BODY_H_
