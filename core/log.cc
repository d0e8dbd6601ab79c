#include "core/log.h"

#include <fcntl.h>
#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace cassiausher {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

LogLevel min_level = LogLevel::kInfo;

std::string& InstanceName() {
  static std::string& name = *new std::string("-");
  return name;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"\n\r\t=") != std::string_view::npos;
}

void AppendValue(fmt::memory_buffer& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    fmt::format_to(std::back_inserter(line), "{}", value);
    return;
  }
  line.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') line.push_back('\\');
    line.push_back(c == '\n' || c == '\r' ? ' ' : c);
  }
  line.push_back('"');
}

std::int64_t MillisecondsSinceEpoch() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Limits the rate of one event: at most kLinesPerSecond lines in each second.
class EventRateLimiter {
 public:
  // Returns whether a line may be written. If so, sets `left_out` to the number
  // of lines dropped since the last one written.
  bool Allow(std::int64_t second, std::uint64_t* left_out) {
    if (second != second_) {
      second_ = second;
      lines_ = 0;
    }
    ++lines_;
    if (lines_ > kLinesPerSecond) {
      ++left_out_;
      return false;
    }
    *left_out = std::exchange(left_out_, 0);
    return true;
  }

 private:
  static constexpr int kLinesPerSecond = 100;
  std::int64_t second_ = 0;
  int lines_ = 0;
  std::uint64_t left_out_ = 0;
};

// Writes JSON lines to standard output without waiting for its reader.
class JsonSink {
 public:
  static JsonSink& Instance() {
    static JsonSink& sink = *new JsonSink;
    return sink;
  }

  void Write(LogLevel level, std::string_view event,
             const std::vector<LogField>& fields) {
    const std::lock_guard lock(mutex_);
    const std::int64_t now_ms = MillisecondsSinceEpoch();
    std::uint64_t left_out = 0;
    auto found = rate_limiters_.find(event);
    if (found == rate_limiters_.end()) {
      found =
          rate_limiters_.emplace(std::string(event), EventRateLimiter()).first;
    }
    if (!found->second.Allow(now_ms / 1000, &left_out)) {
      left_out_.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = now_ms;
    line["level"] = kLevelNames[static_cast<std::size_t>(level)];
    line["instance"] = InstanceName();
    line["event"] = event;
    for (const LogField& field : fields) {
      if (field.is_literal) {
        line[field.key] =
            nlohmann::ordered_json::parse(field.value, nullptr, false);
      } else {
        line[field.key] = field.value;
      }
    }
    if (left_out > 0) line["left_out"] = left_out;
    Send(line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n");
  }

  void Flush(Duration timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const std::lock_guard lock(mutex_);
    while (!pending_.empty() && WaitWritable(deadline)) {
      if (!WritePending()) return;
    }
  }

  std::uint64_t left_out() const {
    return left_out_.load(std::memory_order_relaxed);
  }

 private:
  // Maximum size of the lines buffered for a slow reader.
  static constexpr std::size_t kMaxPendingBytes = 256 << 10;

  JsonSink() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  void Send(const std::string& line) {
    if (pending_.size() + line.size() > kMaxPendingBytes) {
      left_out_.fetch_add(1, std::memory_order_relaxed);
    } else {
      pending_ += line;
    }
    WritePending();
  }

  // Returns false if the reader has gone.
  bool WritePending() {
    const ssize_t written =
        write(STDOUT_FILENO, pending_.data(), pending_.size());
    if (written > 0) pending_.erase(0, static_cast<std::size_t>(written));
    return written >= 0 || errno == EAGAIN || errno == EINTR;
  }

  static bool WaitWritable(std::chrono::steady_clock::time_point deadline) {
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    for (;;) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      if (left.count() <= 0) return false;
      const int ready = poll(&output, 1, static_cast<int>(left.count()));
      if (ready >= 0 || errno != EINTR) return ready > 0;
    }
  }

  std::mutex mutex_;
  std::map<std::string, EventRateLimiter, std::less<>> rate_limiters_;
  std::string pending_;
  std::atomic<std::uint64_t> left_out_{0};
};

LogFormat log_format = LogFormat::kKeyValue;

}  // namespace

void SetLogFormat(LogFormat format) { log_format = format; }

std::uint64_t DroppedLogLines() { return JsonSink::Instance().left_out(); }

void FlushLog(Duration timeout) {
  if (log_format == LogFormat::kJson) JsonSink::Instance().Flush(timeout);
}

void ConfigureLog(LogLevel lowest, std::string instance) {
  min_level = lowest;
  InstanceName() = std::move(instance);
}

bool ParseLogLevel(std::string_view name, LogLevel* level) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] != name) continue;
    *level = static_cast<LogLevel>(i);
    return true;
  }
  return false;
}

void Log(LogLevel level, std::string_view event,
         const std::vector<LogField>& fields) {
  if (level < min_level) return;
  if (log_format == LogFormat::kJson) {
    JsonSink::Instance().Write(level, event, fields);
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line),
                 "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} instance={} "
                 "event={}",
                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                 now.time_since_epoch().count() % 1000,
                 kLevelNames[static_cast<std::size_t>(level)], InstanceName(),
                 event);
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(line), " {}=", field.key);
    AppendValue(line, field.value);
  }
  line.push_back('\n');
  // A single fwrite per line keeps lines of several threads from interleaving.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace cassiausher
