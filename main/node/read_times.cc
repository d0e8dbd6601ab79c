#include "main/node/read_times.h"

#include <utility>

namespace cassiausher {

void ReadTimes::Add(AnswerReceipt receipt, Time arrived,
                    CompletionTime* completion) {
  unread_.push_back({std::move(receipt), arrived, completion});
}

void ReadTimes::Poll(Time now) {
  std::erase_if(unread_, [now](const Unread& answer) {
    if (!answer.receipt.IsTaken()) return false;
    answer.completion->Observe(now - answer.arrived);
    return true;
  });
}

}  // namespace cassiausher
