// Accounts for the bytes of answers that an HTTP server was given and that its
// callers don't have yet.
#ifndef DRIVERS_ANSWER_TRACKER_H_
#define DRIVERS_ANSWER_TRACKER_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/log.h"
#include "core/metrics.h"
#include "drivers/gobject_ptr.h"
#include "drivers/memory_budget.h"

namespace cassiausher {

/// An answer of which bytes are still in this process or in the kernel.
struct UnsentAnswer {
  std::string label;  ///< Set by the owner of the request, often its id.
  /// False while the owner still produces it.
  bool handed_over = false;
  std::int64_t process_bytes = 0;  ///< Not yet accepted by the socket.
  std::int64_t kernel_bytes = 0;   ///< Not yet acknowledged by the caller.
};

/// Belongs to the task of its server.
class AnswerTracker {
 public:
  AnswerTracker() = default;
  ~AnswerTracker();
  AnswerTracker(const AnswerTracker&) = delete;
  AnswerTracker& operator=(const AnswerTracker&) = delete;

  /// From now on the bytes in this process are charged to the budget.
  void ChargeTo(std::shared_ptr<MemoryBudget> budget);
  /// Closes the connections whose callers took fewer than `min_bytes` of a
  /// waiting answer in `period`.
  void CutStalled(std::int64_t min_bytes, Duration period, Time now);

  /// A request was read in full, so that its answer is due.
  void Add(SoupServerMessage* message);
  void SetLabel(SoupServerMessage* message, std::string_view label);
  std::string LabelOf(SoupServerMessage* message) const;
  /// `bytes` of the body were given to the HTTP library.
  void OnWritten(SoupServerMessage* message, std::int64_t bytes);
  /// The owner has produced all of the answer.
  void OnHandedOver(SoupServerMessage* message);
  /// The connection is closed elsewhere, or its bytes are accounted for there.
  void Forget(GSocket* socket);
  /// Whether a request on the connection is being answered.
  bool IsAnswering(GSocket* socket) const;
  /// Whether bytes of the message's answer may be in this process. The message
  /// need not exist any more.
  bool Has(SoupServerMessage* message, GSocket* socket) const;
  /// The HTTP library is done with the message; `cut` if the connection ended
  /// before the whole answer was passed to the kernel.
  void OnFinished(SoupServerMessage* message, bool cut);

  /// Closes the connection of the answer with the most bytes in this process,
  /// and no longer counts these. Returns whether there was one.
  bool CutLargest();

  /// Answers that aren't with their callers in full.
  std::vector<UnsentAnswer> Unsent() const;
  bool HasUnsent() const;
  /// Body bytes in this process, over all answers.
  std::int64_t process_bytes() const { return process_bytes_; }

 private:
  struct Answer {
    GObjectPtr<SoupServerMessage> message;
    std::string label;
    GSocket* socket = nullptr;
    bool handed_over = false;
    /// Its connection was closed by CutLargest().
    bool cut = false;
    std::int64_t process_bytes = 0;
    gulong wrote_handler = 0;
    /// Accepted by the socket since `period_began`.
    std::int64_t accepted = 0;
    /// When bytes began to wait, or the current period.
    std::optional<Time> period_began;
  };
  /// The last answer on a connection; its bytes may still be in the kernel.
  struct Connection {
    std::string label;
    /// An answer on it is in `answers_`.
    bool answering = false;
  };

  /// Adds to the sum over all answers.
  void AddProcessBytes(std::int64_t bytes);
  /// Closes the connection of the answer and no longer counts its bytes.
  void Cut(Answer& answer);
  void OnAccepted(SoupServerMessage* message, std::int64_t bytes);
  static void OnSocketFinalized(gpointer self, GObject* socket);

  std::unordered_map<SoupServerMessage*, Answer> answers_;
  /// Each open connection that has carried an answer. Holds no reference; the
  /// entry is erased when the socket is finalized.
  std::unordered_map<GSocket*, Connection> connections_;
  /// Sum over `answers_`.
  std::int64_t process_bytes_ = 0;
  std::shared_ptr<MemoryBudget> budget_;
  MemoryBudget::HolderId holder_ = 0;
};

/// Bytes that were sent on a connection and that its other end hasn't
/// acknowledged; 0 if unknown or if the connection was reset.
std::int64_t UnacknowledgedBytes(GSocket* socket);

/// IP address of the other end; empty if the connection has ended.
std::string ClientAddress(GSocket* socket);

/// Logs the labels of answers that end unsent, and counts them in
/// `answers_cut_total`.
void LogCutAnswers(const std::vector<UnsentAnswer>& answers,
                   std::string_view server, Metrics& metrics);

}  // namespace cassiausher

#endif  // DRIVERS_ANSWER_TRACKER_H_
