#include "main/daemon/request_id.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace cassiausher {
namespace {

constexpr char kSeparator = '~';
constexpr std::size_t kMaxCallerIdLength = 64;

struct Parts {
  std::string_view entry;
  std::string_view task;
};

// Splits from the end; the caller's own id contains no separator.
std::optional<Parts> Split(const RequestId& request) {
  const std::string_view text = request.value();
  const std::size_t counter = text.rfind(kSeparator);
  if (counter == std::string_view::npos || counter == 0) return std::nullopt;
  const std::size_t task = text.rfind(kSeparator, counter - 1);
  if (task == std::string_view::npos || task == 0) return std::nullopt;
  const std::size_t entry = text.rfind(kSeparator, task - 1);
  if (entry == std::string_view::npos) return std::nullopt;
  return Parts{.entry = text.substr(entry + 1, task - entry - 1),
               .task = text.substr(task + 1, counter - task - 1)};
}

}  // namespace

RequestId MakeRequestId(std::string_view caller_id, const InstanceId& instance,
                        int task, std::uint64_t counter) {
  return RequestId(fmt::format("{1}{0}{2}{0}{3}{0}{4:x}", kSeparator, caller_id,
                               instance.value(), task, counter));
}

InstanceId EntryOf(const RequestId& request) {
  const auto parts = Split(request);
  return parts.has_value() ? InstanceId(parts->entry) : InstanceId();
}

int ServingTaskOf(const RequestId& request, const InstanceId& instance) {
  const auto parts = Split(request);
  if (!parts.has_value() || parts->entry != instance.value()) return -1;
  int number = -1;
  const char* end = parts->task.data() + parts->task.size();
  const auto parsed = std::from_chars(parts->task.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? number : -1;
}

bool IsCallerRequestId(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
           c == ':';
  };
  return !text.empty() && text.size() <= kMaxCallerIdLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

}  // namespace cassiausher
