// Ends HTTP connections so that their last answers arrive. Closing a socket
// while the caller's bytes are unread on it resets the connection, which
// discards what the caller hasn't received yet.
#ifndef DRIVERS_LINGERING_CLOSER_H_
#define DRIVERS_LINGERING_CLOSER_H_

#include <gio/gio.h>

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "core/time.h"
#include "drivers/answer_tracker.h"
#include "drivers/gobject_ptr.h"

namespace cassiausher {

/// A connection whose last answer was passed to the kernel.
struct EndedConnection {
  GObjectPtr<GIOStream> stream;
  /// What carries the bytes of `stream`: a TLS connection, or one to the
  /// socket.
  GObjectPtr<GIOStream> transport;
  GObjectPtr<GSocket> socket;
  std::string label;  ///< Of the last answer.
};

/// Shuts each connection down for sending, discards what the caller still
/// sends, and closes it once the caller has acknowledged everything and has
/// closed its side or been silent for a second. Belongs to the task that runs
/// `context`.
class LingeringCloser {
 public:
  explicit LingeringCloser(GMainContext* context) : context_(context) {}
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  void Close(EndedConnection connection, Time now);
  /// Called by a timer while there are connections.
  void Poll(Time now);

  bool empty() const { return connections_.empty(); }
  /// Answers that their callers don't have in full.
  std::vector<UnsentAnswer> Unsent() const;

 private:
  struct Lingering {
    EndedConnection connection;
    std::int64_t unacknowledged = 0;
    /// When the caller last acknowledged something; the start at first.
    Time progress_at{};
  };

  /// Whether the connection can be closed.
  static bool IsOver(Lingering& lingering, Time now);

  GMainContext* context_;
  std::list<Lingering> connections_;
  /// Set while there are connections.
  GSourcePtr timer_;
};

}  // namespace cassiausher

#endif  // DRIVERS_LINGERING_CLOSER_H_
