#include "core/log.h"

#include <fcntl.h>
#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
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

// A line that is composed without taking memory.
class LastLine {
 public:
  void Append(std::string_view text) {
    for (const char c : text.substr(0, line_.size() - size_)) {
      line_[size_++] = c;
    }
  }
  // Characters that JSON or key=value would escape become spaces.
  void AppendPlain(std::string_view text) {
    constexpr char kFirstPrintable = ' ';
    constexpr char kLastPrintable = '~';
    for (const char c : text.substr(0, kMaxTextBytes)) {
      const bool plain =
          c >= kFirstPrintable && c <= kLastPrintable && c != '"' && c != '\\';
      Append(std::string_view(plain ? &c : " ", 1));
    }
  }
  void Append(std::int64_t number) {
    std::array<char, 20> digits;
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number);
    Append(std::string_view(digits.data(), end.ptr));
  }
  std::string_view text() const { return {line_.data(), size_}; }

 private:
  static constexpr std::size_t kMaxTextBytes = 500;
  std::array<char, 1024> line_;
  std::size_t size_ = 0;
};

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

  /// Whether the last line written isn't complete.
  bool InsideLine() const { return inside_line_.load(); }

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
    if (written > 0) {
      inside_line_ = pending_[static_cast<std::size_t>(written) - 1] != '\n';
      pending_.erase(0, static_cast<std::size_t>(written));
    }
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
  std::atomic<bool> inside_line_ = false;
};

LogFormat log_format = LogFormat::kKeyValue;

}  // namespace

void SetLogFormat(LogFormat format) { log_format = format; }

std::uint64_t DroppedLogLines() { return JsonSink::Instance().left_out(); }

void FlushLog(Duration timeout) {
  if (log_format == LogFormat::kJson) JsonSink::Instance().Flush(timeout);
}

void LogLastLine(std::string_view event, std::string_view key,
                 std::string_view value) {
  LastLine line;
  const bool json = log_format == LogFormat::kJson;
  if (json && JsonSink::Instance().InsideLine()) line.Append("\n");
  line.Append(json ? R"({"time_ms":)" : "time_ms=");
  line.Append(MillisecondsSinceEpoch());
  line.Append(json ? R"(,"level":"error","instance":")"
                   : " level=error instance=");
  line.AppendPlain(InstanceName());
  line.Append(json ? R"(","event":")" : " event=");
  line.AppendPlain(event);
  line.Append(json ? R"(",")" : " ");
  line.AppendPlain(key);
  line.Append(json ? R"(":")" : "=\"");
  line.AppendPlain(value);
  line.Append(json ? "\"}\n" : "\"\n");
  const std::string_view text = line.text();
  // What isn't taken at once is lost: nobody is left to write it.
  const ssize_t written =
      write(json ? STDOUT_FILENO : STDERR_FILENO, text.data(), text.size());
  static_cast<void>(written);
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
