#include "drivers/drain_watch.h"

namespace cassiausher {

bool DrainWatch::Done(const HttpServer& server, Time now) {
  if (server.Drained()) return true;
  std::int64_t bytes = 0;
  bool handed_over = true;
  for (const UnsentAnswer& answer : server.UnsentAnswers()) {
    bytes += answer.process_bytes + answer.kernel_bytes;
    handed_over &= answer.handed_over;
  }
  if (!handed_over || bytes != unsent_bytes_) {
    unsent_bytes_ = bytes;
    progress_at_ = now;
  }
  return now - progress_at_ >= kStalledTimeout;
}

}  // namespace cassiausher
