// Splits a text/event-stream body into complete events, so that a stream that
// breaks inside an event can resume at another endpoint without a duplicate or
// a partial event.
#ifndef SERVERS_ENTRY_EVENT_SPLITTER_H_
#define SERVERS_ENTRY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiausher {

class EventSplitter {
 public:
  /// Limit of an incomplete event; events of a sound endpoint have some KiB.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  /// Drops events with ids up to and including `after`, which the caller has.
  explicit EventSplitter(std::optional<std::int64_t> after = std::nullopt)
      : last_id_(after) {}

  /// Appends received bytes and returns the events that they complete, in
  /// order. Events whose id is not above the last one returned are dropped.
  std::string Feed(std::string_view bytes);

  /// Id of the last event returned or passed as `after`; null if none had one.
  std::optional<std::int64_t> last_id() const { return last_id_; }
  /// Bytes of an event that isn't complete yet.
  const std::string& incomplete_event() const { return buffer_; }
  /// Memory of the incomplete event.
  std::size_t memory_bytes() const { return buffer_.capacity(); }
  /// Whether the incomplete event has exceeded its limit. Nothing more may be
  /// fed then.
  bool over_limit() const { return buffer_.size() > kMaxEventBytes; }
  /// Number of events returned.
  std::int64_t events() const { return events_; }

 private:
  /// Whether the event is not a duplicate; if so, its id becomes the last one.
  bool AcceptIfNew(std::string_view event);

  std::string buffer_;
  /// No event ends in this many bytes of `buffer_`.
  std::size_t searched_ = 0;
  std::optional<std::int64_t> last_id_;
  std::int64_t events_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_EVENT_SPLITTER_H_
