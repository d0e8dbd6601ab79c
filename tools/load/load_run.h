// Executes a load run: workers, progress line, endpoint states and history.
#ifndef TOOLS_LOAD_LOAD_RUN_H_
#define TOOLS_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tools/load/load_totals.h"
#include "tools/load/load_worker.h"

namespace cassiausher {

struct RunOptions {
  LoadPlan plan;
  std::vector<Target> endpoints;
  /// Empty for no history.
  std::string history_path;
  /// Fault records that scripts/faults.py wrote during the run; empty for none.
  std::string faults_path;
  /// Time between the end of the last caller and reading the endpoints' states.
  std::int64_t settle_ms = 5000;
  bool show_progress = false;
};

struct RunResult {
  LoadTotals totals;
  /// Why the run could not be recorded; empty on success.
  std::string failure;
};

/// Blocks until the run has ended. The run stops early on SIGINT.
RunResult RunLoad(RunOptions options);

}  // namespace cassiausher

#endif  // TOOLS_LOAD_LOAD_RUN_H_
