#include "tests/consensus/linearizability.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cassiausher {

namespace {

/// Depth-first search over the sequential orders that respect real-time order.
class Search {
 public:
  explicit Search(const std::vector<RegisterOperation>& operations)
      : operations_(operations), done_(operations.size(), false) {}

  bool Run(std::uint64_t value) {
    std::int64_t first_return = RegisterOperation::kNever;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      if (!done_[i]) {
        first_return = std::min(first_return, operations_[i].returned);
      }
    }
    if (first_return == RegisterOperation::kNever) return true;
    if (!visited_.insert({done_, value}).second) return false;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const RegisterOperation& operation = operations_[i];
      // An operation invoked after another one returned must come later.
      if (done_[i] || operation.invoked > first_return) continue;
      if (!operation.is_write && operation.value != value) continue;
      done_[i] = true;
      if (Run(operation.value)) return true;
      done_[i] = false;
    }
    return false;
  }

 private:
  const std::vector<RegisterOperation>& operations_;
  std::vector<bool> done_;
  std::set<std::pair<std::vector<bool>, std::uint64_t>> visited_;
};

}  // namespace

bool IsLinearizable(std::vector<RegisterOperation> operations) {
  std::set<std::uint64_t> read;
  for (const auto& operation : operations) {
    if (!operation.is_write) read.insert(operation.value);
  }
  // A write of unknown outcome that was never read can be treated as not done.
  std::erase_if(operations, [&](const RegisterOperation& operation) {
    return operation.returned == RegisterOperation::kNever &&
           (!operation.is_write || !read.contains(operation.value));
  });
  return Search(operations).Run(0);
}

}  // namespace cassiausher
