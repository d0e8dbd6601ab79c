#include "servers/control/send_window.h"

namespace cassiausher {

bool SendWindow::IsOpen(Time now) const {
  if (unacknowledged_bytes_ < options_.max_unacknowledged_bytes) return true;
  return now - last_sent_at_ >= options_.loss_timeout;
}

std::uint64_t SendWindow::OnSend(std::size_t bytes, Time now) {
  const bool lost = now - last_sent_at_ >= options_.loss_timeout;
  if (lost) Reset();
  last_sent_at_ = now;
  unacknowledged_.push_back({++last_number_, bytes});
  unacknowledged_bytes_ += bytes;
  return last_number_;
}

void SendWindow::OnAcknowledged(std::uint64_t number) {
  while (!unacknowledged_.empty() && unacknowledged_.front().number <= number) {
    unacknowledged_bytes_ -= unacknowledged_.front().bytes;
    unacknowledged_.pop_front();
  }
}

void SendWindow::Reset() {
  unacknowledged_.clear();
  unacknowledged_bytes_ = 0;
}

}  // namespace cassiausher
