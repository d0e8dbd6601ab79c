// Structured logging: time, level, instance, event and fields. Lines are either
// key=value pairs on standard error, or JSON objects on standard output with a
// rate limit per event.
#ifndef CORE_LOG_H_
#define CORE_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "core/time.h"

namespace cassiausher {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line.
struct LogField {
  template <typename Value>
  LogField(std::string_view field_key, const Value& field_value)
      : key(field_key),
        value(fmt::format("{}", field_value)),
        is_literal(std::is_arithmetic_v<Value>) {}

  std::string key;
  std::string value;
  /// A number or a boolean, which JSON writes without quotes.
  bool is_literal = false;
};

/// Sets the lowest level written and the instance name of each line. Call
/// before the tasks start.
void ConfigureLog(LogLevel lowest, std::string instance);

enum class LogFormat {
  kKeyValue,  ///< Standard error, without a rate limit.
  /// Standard output, one object per line. Never blocks: lines that a slow
  /// reader doesn't take are dropped, and so are lines of an event beyond the
  /// first 100 in a second. The next line of the event has the number that the
  /// rate limit dropped in `left_out`.
  kJson,
};

/// Chooses the format. Call before the tasks start.
void SetLogFormat(LogFormat format);

/// Number of lines dropped so far; only LogFormat::kJson drops lines.
std::uint64_t DroppedLogLines();

/// Writes the lines that LogFormat::kJson still buffers for a slow reader, for
/// at most `timeout`. Call it last in a process; lines that remain are lost
/// with it. The other format doesn't buffer.
void FlushLog(Duration timeout);

/// Writes a line of one field at the end of a process, past the lines that are
/// buffered. Takes no lock and no memory, so that a signal handler may call it.
/// Characters that JSON would escape become spaces, and what is beyond some 500
/// bytes is left out.
void LogLastLine(std::string_view event, std::string_view key,
                 std::string_view value);

/// Returns false if `name` is not a level.
bool ParseLogLevel(std::string_view name, LogLevel* level);

/// Writes one line. Thread-safe.
void Log(LogLevel level, std::string_view event,
         const std::vector<LogField>& fields = {});

}  // namespace cassiausher

#endif  // CORE_LOG_H_
