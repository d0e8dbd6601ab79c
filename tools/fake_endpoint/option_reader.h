// Reads typed values from parsed command-line options and collects all invalid
// ones, so that one run reports every error.
#ifndef TOOLS_FAKE_ENDPOINT_OPTION_READER_H_
#define TOOLS_FAKE_ENDPOINT_OPTION_READER_H_

#include <docopt/docopt.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"

namespace cassiausher {

class OptionReader {
 public:
  explicit OptionReader(std::map<std::string, docopt::value> values)
      : values_(std::move(values)) {}

  /// Empty when the option was not given and has no default.
  std::string Text(const std::string& name) const;
  bool Flag(const std::string& name) const;
  /// Adds a finding and returns `min` when the value is not a number in
  /// [min, max].
  std::int64_t Integer(const std::string& name, std::int64_t min,
                       std::int64_t max);
  double Number(const std::string& name, double min, double max);
  /// Adds a finding when the option is empty.
  std::string Required(const std::string& name);
  /// Adds a finding when the value is not one of `choices`.
  std::string Choice(const std::string& name,
                     const std::vector<std::string>& choices);

  void AddFinding(const std::string& name, std::string message) {
    findings_.Add(name, std::move(message));
  }
  const Findings& findings() const { return findings_; }
  /// Writes the findings to standard error, one per line.
  void PrintFindings() const;

 private:
  std::map<std::string, docopt::value> values_;
  Findings findings_;
};

/// Splits at each `separator`; an empty text yields no parts.
std::vector<std::string> Split(std::string_view text, char separator);

/// Raises the soft limit on open file descriptors to the hard limit.
void RaiseOpenFilesLimit();

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_OPTION_READER_H_
