// Splits a text/event-stream body into whole events, so that a stream that
// breaks inside an event can go on elsewhere without a seam.
#ifndef SERVERS_ENTRY_EVENT_SPLITTER_H_
#define SERVERS_ENTRY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiausher {

class EventSplitter {
 public:
  /// Events up to and including `after` are dropped: the caller has them.
  explicit EventSplitter(std::optional<std::int64_t> after = std::nullopt)
      : last_id_(after) {}

  /// Takes bytes as they arrive and returns the whole events that they
  /// complete, in order, without those that are not newer than the last.
  std::string Feed(std::string_view bytes);

  /// Id of the last event returned; null before the first with an id.
  std::optional<std::int64_t> last_id() const { return last_id_; }
  /// Bytes of an event that isn't whole yet.
  const std::string& incomplete_event() const { return buffer_; }
  std::int64_t events() const { return events_; }

 private:
  bool IsNew(std::string_view event);

  std::string buffer_;
  std::optional<std::int64_t> last_id_;
  std::int64_t events_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_EVENT_SPLITTER_H_
