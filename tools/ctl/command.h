// Command-line interface of cassiausherctl.
#ifndef TOOLS_CTL_COMMAND_H_
#define TOOLS_CTL_COMMAND_H_

#include <ostream>
#include <string>
#include <vector>

namespace cassiausher {

enum ExitCode : int {
  kExitDone = 0,
  /// The instance refused the statement or sent an unexpected response, or
  /// libzmq lacks CURVE.
  kExitRefused = 1,
  /// Wrong arguments, an unreadable token file or a syntax error in the
  /// statement.
  kExitUsage = 2,
  /// No HTTP response was received, or the URL is invalid.
  kExitUnreachable = 3,
};

/// Runs one command. `arguments` are those after the program's name; `token`
/// is the value of CASSIAUSHER_TOKEN, or empty.
int RunCommand(const std::vector<std::string>& arguments,
               const std::string& token, std::ostream& out, std::ostream& err);

}  // namespace cassiausher

#endif  // TOOLS_CTL_COMMAND_H_
