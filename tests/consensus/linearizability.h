// Checks that a history of concurrent reads and writes of one register could
// have been produced by a register that executes one operation at a time.
#ifndef TESTS_CONSENSUS_LINEARIZABILITY_H_
#define TESTS_CONSENSUS_LINEARIZABILITY_H_

#include <cstdint>
#include <limits>
#include <vector>

namespace cassiausher {

struct RegisterOperation {
  static constexpr std::int64_t kNever =
      std::numeric_limits<std::int64_t>::max();

  bool is_write = false;
  /// Value written or read. Writes have distinct values; 0 is the initial
  /// value.
  std::uint64_t value = 0;
  std::int64_t invoked = 0;
  /// kNever if the outcome is unknown; such reads are ignored.
  std::int64_t returned = kNever;
};

bool IsLinearizable(std::vector<RegisterOperation> operations);

}  // namespace cassiausher

#endif  // TESTS_CONSENSUS_LINEARIZABILITY_H_
