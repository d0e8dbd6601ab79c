#include "servers/entry/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace cassiausher {
namespace {

constexpr std::size_t kLongestBlankLine = 4;

// Length of the first complete event and its blank line; 0 if there is none.
// No event ends in the first `searched` bytes.
std::size_t EventLength(std::string_view text, std::size_t searched) {
  const std::size_t from = searched - std::min(searched, kLongestBlankLine - 1);
  const std::size_t plain = text.find("\n\n", from);
  const std::size_t crlf = text.find("\r\n\r\n", from);
  const std::size_t end =
      std::min(plain == std::string_view::npos ? plain : plain + 2,
               crlf == std::string_view::npos ? crlf : crlf + 4);
  return end == std::string_view::npos ? 0 : end;
}

std::optional<std::int64_t> EventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.substr(0, kField.size()) != kField) continue;
    line.remove_prefix(kField.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::int64_t id = 0;
    const auto read =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

bool EventSplitter::AcceptIfNew(std::string_view event) {
  const std::optional<std::int64_t> id = EventId(event);
  if (!id.has_value()) return true;
  if (last_id_.has_value() && *id <= *last_id_) return false;
  last_id_ = id;
  return true;
}

std::string EventSplitter::Feed(std::string_view bytes) {
  buffer_.append(bytes);
  std::string complete;
  std::size_t start = 0;
  for (;;) {
    const std::string_view rest = std::string_view(buffer_).substr(start);
    const std::size_t length = EventLength(rest, searched_);
    if (length == 0) break;
    searched_ = 0;
    const std::string_view event = rest.substr(0, length);
    if (AcceptIfNew(event)) {
      complete.append(event);
      ++events_;
    }
    start += length;
  }
  buffer_.erase(0, start);
  searched_ = buffer_.size();
  return complete;
}

}  // namespace cassiausher
