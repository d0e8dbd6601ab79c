// Ends connections whose request doesn't end: one that isn't complete in time,
// has chunk extensions or trailers without end, or goes on after its refusal.
#ifndef DRIVERS_READ_GUARD_H_
#define DRIVERS_READ_GUARD_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "core/time.h"
#include "drivers/client_connection.h"
#include "drivers/gobject_ptr.h"
#include "drivers/read_refusal.h"

namespace cassiausher {

struct ReadGuardOptions {
  /// From the first byte of a request to its last.
  Duration timeout{};
  /// From the first byte of a request to the end of its head.
  Duration head_timeout{};
  /// Each body may take `body_grace` and the time of its bytes at this rate.
  std::int64_t min_body_bytes_per_second = 0;
  Duration body_grace{};
};

/// Belongs to the task that runs `context`.
class ReadGuard {
 public:
  /// Ends the connection of a message that is being read. Called from a timer.
  using EndFunction =
      std::function<void(SoupServerMessage*, const ReadRefusal&)>;

  ReadGuard(GMainContext* context, const ReadGuardOptions& options,
            EndFunction end);
  ~ReadGuard();
  ReadGuard(const ReadGuard&) = delete;
  ReadGuard& operator=(const ReadGuard&) = delete;

  /// A request has begun, and its head isn't complete.
  void AddHead(ClientConnection* connection);
  void OnClosed(ClientConnection* connection);
  /// The head of a request is complete.
  void Add(SoupServerMessage* message, Time now);
  void OnBody(SoupServerMessage* message, std::int64_t bytes);
  /// Of all requests that are being read.
  std::int64_t body_bytes() const { return body_bytes_; }
  /// The request with the longest body that isn't refused; null if none.
  SoupServerMessage* Largest() const;
  bool IsRead(SoupServerMessage* message) const {
    return reading_.contains(message);
  }
  /// Requests of which a part was read and that aren't refused.
  int Begun() const;
  /// The answer is known before the request was read in full.
  void OnRefused(SoupServerMessage* message, ReadRefusal refusal);
  /// The request was read in full, or its connection has ended.
  void Remove(SoupServerMessage* message);

 private:
  struct Reading {
    std::int64_t body_bytes = 0;
    /// When the first byte of the request was seen.
    Time begun_at{};
    /// When its head was complete.
    Time head_at{};
    std::optional<ReadRefusal> refusal;
  };

  void Forget(SoupServerMessage* message);
  static void OnMessageFinalized(gpointer self, GObject* message);
  /// Why the message is ended; null while it isn't.
  std::optional<ReadRefusal> Judge(SoupServerMessage* message,
                                   const Reading& reading, Time now) const;
  bool IsTooSlow(const Reading& reading, Time now) const;
  void StartTimer();
  void PollHeads(Time now);
  void Poll(Time now);

  GMainContext* context_;
  ReadGuardOptions options_;
  EndFunction end_;
  /// Connections of requests whose head isn't complete; some may have become
  /// complete since.
  std::unordered_set<ClientConnection*> heads_;
  /// Holds weak references to the messages.
  std::unordered_map<SoupServerMessage*, Reading> reading_;
  /// Sum over the requests in `reading_` that aren't refused.
  std::int64_t body_bytes_ = 0;
  GSourcePtr timer_;
};

}  // namespace cassiausher

#endif  // DRIVERS_READ_GUARD_H_
