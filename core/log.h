// Structured log lines: time, level, instance, event and fields. Either
// key=value pairs on standard error, or JSON objects on standard output with a
// bound on each event's rate.
#ifndef CORE_LOG_H_
#define CORE_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

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
  /// A number or a truth value, which JSON writes without quotes.
  bool is_literal = false;
};

/// Sets the lowest level written and the instance name on each line. Call
/// before the tasks start.
void ConfigureLog(LogLevel lowest, std::string instance);

enum class LogFormat {
  kKeyValue,  ///< Standard error, unbounded.
  /// Standard output, one object a line. Never blocks: lines that the reader
  /// doesn't take are left out, and so are lines of an event beyond the first
  /// hundred in a second, but for one. The next line of the event tells how
  /// many in `left_out`.
  kJson,
};

/// Chooses the format. Call before the tasks start.
void SetLogFormat(LogFormat format);

/// Lines left out so far; only LogFormat::kJson leaves lines out.
std::uint64_t DroppedLogLines();

/// Returns false if `name` is no level.
bool ParseLogLevel(std::string_view name, LogLevel* level);

/// Writes one line; safe from any thread.
void Log(LogLevel level, std::string_view event,
         const std::vector<LogField>& fields = {});

}  // namespace cassiausher

#endif  // CORE_LOG_H_
