// Checks a recorded history and the endpoints' reported states against the
// invariants of section 2 of the design page.
#ifndef TOOLS_LOAD_CHECKER_H_
#define TOOLS_LOAD_CHECKER_H_

#include <string>
#include <vector>

#include "tools/load/history.h"

namespace cassiausher {

struct Violation {
  /// lost, doubled, mixed, cut, other_request, malformed,
  /// not_run_but_executed, executed_twice, unknown_execution, held_memory or
  /// work_after_departure.
  std::string invariant;
  /// Description of the violation, with the record that violates it.
  std::string message;
};

/// Returns every violation.
///
/// A cut, broken or timed-out attempt is not a violation when a fault record
/// says that its instance was killed or stopped at that time.
std::vector<Violation> CheckHistory(const History& history);

}  // namespace cassiausher

#endif  // TOOLS_LOAD_CHECKER_H_
