#include "drivers/answer_tracker.h"

#include <gio/gio.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "drivers/client_connection.h"

namespace cassiausher {
namespace {

// The log limits the rate of lines, so one line has many labels.
constexpr std::size_t kLabelsPerLine = 64;

// A connection that was reset keeps the count of its unsent bytes.
bool WasReset(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return false;
  }
  return info.tcpi_state == TCP_CLOSE;
}

}  // namespace

std::int64_t UnacknowledgedBytes(GSocket* socket) {
  const int descriptor = g_socket_get_fd(socket);
  int bytes = 0;
  if (descriptor < 0 || ioctl(descriptor, SIOCOUTQ, &bytes) != 0) return 0;
  if (bytes == 0 || WasReset(descriptor)) return 0;
  return bytes;
}

std::string ClientAddress(GSocket* socket) {
  if (socket == nullptr) return {};
  const GObjectPtr<GSocketAddress> address(
      g_socket_get_remote_address(socket, nullptr));
  if (!address || !G_IS_INET_SOCKET_ADDRESS(address.get())) return {};
  char* text = g_inet_address_to_string(
      g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address.get())));
  std::string result(text);
  g_free(text);
  return result;
}

AnswerTracker::~AnswerTracker() {
  if (budget_) budget_->Remove(holder_);
  for (const auto& [message, answer] : answers_) {
    g_signal_handler_disconnect(message, answer.wrote_handler);
  }
  for (const auto& [socket, connection] : connections_) {
    g_object_weak_unref(G_OBJECT(socket), &OnSocketFinalized, this);
  }
}

void AnswerTracker::Add(SoupServerMessage* message) {
  GSocket* socket = SocketOf(message);
  Answer& answer = answers_[message];
  answer.message = ShareGObject(message);
  answer.socket = socket;
  answer.wrote_handler = g_signal_connect(
      message, "wrote-body-data",
      G_CALLBACK(+[](SoupServerMessage* source, guint size, gpointer self) {
        static_cast<AnswerTracker*>(self)->OnAccepted(source, size);
      }),
      this);
  if (socket == nullptr) return;
  const auto [connection, is_new] = connections_.try_emplace(socket);
  connection->second.answering = true;
  if (is_new) g_object_weak_ref(G_OBJECT(socket), &OnSocketFinalized, this);
}

void AnswerTracker::OnSocketFinalized(gpointer self, GObject* socket) {
  static_cast<AnswerTracker*>(self)->connections_.erase(
      reinterpret_cast<GSocket*>(socket));
}

void AnswerTracker::Forget(GSocket* socket) {
  if (connections_.erase(socket) == 0) return;
  g_object_weak_unref(G_OBJECT(socket), &OnSocketFinalized, this);
}

bool AnswerTracker::IsAnswering(GSocket* socket) const {
  const auto found = connections_.find(socket);
  return found != connections_.end() && found->second.answering;
}

bool AnswerTracker::Has(SoupServerMessage* message, GSocket* socket) const {
  const auto found = answers_.find(message);
  return found != answers_.end() && found->second.socket == socket;
}

void AnswerTracker::SetLabel(SoupServerMessage* message,
                             std::string_view label) {
  const auto found = answers_.find(message);
  if (found != answers_.end()) found->second.label = label;
}

std::string AnswerTracker::LabelOf(SoupServerMessage* message) const {
  const auto found = answers_.find(message);
  return found == answers_.end() ? std::string() : found->second.label;
}

void AnswerTracker::OnWritten(SoupServerMessage* message, std::int64_t bytes) {
  const auto found = answers_.find(message);
  if (found == answers_.end() || found->second.cut) return;
  found->second.process_bytes += bytes;
  AddProcessBytes(bytes);
}

void AnswerTracker::OnAccepted(SoupServerMessage* message, std::int64_t bytes) {
  const auto found = answers_.find(message);
  if (found == answers_.end()) return;
  const std::int64_t accepted = std::min(bytes, found->second.process_bytes);
  found->second.process_bytes -= accepted;
  found->second.accepted += accepted;
  AddProcessBytes(-accepted);
}

void AnswerTracker::OnHandedOver(SoupServerMessage* message) {
  const auto found = answers_.find(message);
  if (found != answers_.end()) found->second.handed_over = true;
}

void AnswerTracker::OnFinished(SoupServerMessage* message, bool cut) {
  const auto found = answers_.find(message);
  if (found == answers_.end()) return;
  const Answer& answer = found->second;
  if (cut && answer.handed_over) {
    Log(LogLevel::kInfo, "answer_not_taken",
        {{"request", answer.label}, {"process_bytes", answer.process_bytes}});
  }
  g_signal_handler_disconnect(message, answer.wrote_handler);
  AddProcessBytes(-answer.process_bytes);
  const auto connection = connections_.find(answer.socket);
  if (connection != connections_.end()) {
    connection->second = {.label = answer.label, .answering = false};
  }
  answers_.erase(found);
}

bool AnswerTracker::CutLargest() {
  const auto largest = std::max_element(
      answers_.begin(), answers_.end(), [](const auto& a, const auto& b) {
        return a.second.process_bytes < b.second.process_bytes;
      });
  if (largest == answers_.end()) return false;
  Answer& answer = largest->second;
  if (answer.process_bytes == 0 || answer.socket == nullptr) return false;
  Log(LogLevel::kWarning, "slow_caller_cut",
      {{"request", answer.label},
       {"process_bytes", answer.process_bytes},
       {"process_bytes_of_all", process_bytes_}});
  Cut(answer);
  return true;
}

void AnswerTracker::Cut(Answer& answer) {
  AddProcessBytes(-answer.process_bytes);
  answer.process_bytes = 0;
  answer.cut = true;
  // libsoup notices the closed socket and drops the connection.
  g_socket_shutdown(answer.socket, TRUE, TRUE, nullptr);
}

void AnswerTracker::CutStalled(std::int64_t min_bytes, Duration period,
                               Time now) {
  for (auto& [message, answer] : answers_) {
    if (answer.process_bytes == 0 || answer.socket == nullptr) {
      answer.period_began.reset();
      continue;
    }
    const bool over =
        answer.period_began.has_value() && now - *answer.period_began >= period;
    if (over && answer.accepted < min_bytes) {
      Log(LogLevel::kWarning, "client_limited",
          {{"client", ClientAddress(answer.socket)},
           {"request", answer.label},
           {"process_bytes", answer.process_bytes},
           {"limit", "the answer is taken too slowly"}});
      Cut(answer);
      continue;
    }
    if (answer.period_began.has_value() && !over) continue;
    answer.period_began = now;
    answer.accepted = 0;
  }
}

void AnswerTracker::ChargeTo(std::shared_ptr<MemoryBudget> budget) {
  budget_ = std::move(budget);
  holder_ = budget_->Add(nullptr, Time{});
}

void AnswerTracker::AddProcessBytes(std::int64_t bytes) {
  process_bytes_ += bytes;
  if (budget_) budget_->Charge(holder_, bytes);
}

std::vector<UnsentAnswer> AnswerTracker::Unsent() const {
  std::vector<UnsentAnswer> unsent;
  for (const auto& [message, answer] : answers_) {
    const bool open = connections_.contains(answer.socket);
    unsent.push_back(
        {.label = answer.label,
         .handed_over = answer.handed_over,
         .process_bytes = answer.process_bytes,
         .kernel_bytes = open ? UnacknowledgedBytes(answer.socket) : 0});
  }
  for (const auto& [socket, connection] : connections_) {
    if (connection.answering) continue;
    const std::int64_t bytes = UnacknowledgedBytes(socket);
    if (bytes == 0) continue;
    unsent.push_back({.label = connection.label,
                      .handed_over = true,
                      .kernel_bytes = bytes});
  }
  return unsent;
}

bool AnswerTracker::HasUnsent() const {
  if (!answers_.empty()) return true;
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) {
                       return UnacknowledgedBytes(connection.first) > 0;
                     });
}

void LogCutAnswers(const std::vector<UnsentAnswer>& answers,
                   std::string_view server, Metrics& metrics) {
  for (std::size_t first = 0; first < answers.size(); first += kLabelsPerLine) {
    const std::size_t end = std::min(answers.size(), first + kLabelsPerLine);
    std::string labels;
    std::int64_t process_bytes = 0;
    std::int64_t kernel_bytes = 0;
    for (std::size_t i = first; i < end; ++i) {
      if (!labels.empty()) labels += ' ';
      labels += answers[i].label.empty() ? "-" : answers[i].label;
      process_bytes += answers[i].process_bytes;
      kernel_bytes += answers[i].kernel_bytes;
    }
    Log(LogLevel::kError, "answer_cut",
        {{"server", server},
         {"answers", end - first},
         {"requests", labels},
         {"process_bytes", process_bytes},
         {"kernel_bytes", kernel_bytes}});
  }
  metrics.counter("answers_cut_total").Add(answers.size());
}

}  // namespace cassiausher
