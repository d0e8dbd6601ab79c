// Errors found while validating input. They are collected with their locations
// and reported together, so that one pass reports every error.
#ifndef CORE_FINDINGS_H_
#define CORE_FINDINGS_H_

#include <string>
#include <utility>
#include <vector>

namespace cassiausher {

/// One error. `place` is its location: a file and JSON pointer, or a line and
/// column.
struct Finding {
  std::string place;
  std::string message;

  bool operator==(const Finding&) const = default;
};

class Findings {
 public:
  void Add(std::string place, std::string message) {
    items_.push_back({std::move(place), std::move(message)});
  }
  void Append(const Findings& other) {
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
  }

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

 private:
  std::vector<Finding> items_;
};

/// Formats all findings as one line, `place message; place message`.
inline std::string ToString(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings.items()) {
    if (!text.empty()) text += "; ";
    text += finding.place + " " + finding.message;
  }
  return text;
}

}  // namespace cassiausher

#endif  // CORE_FINDINGS_H_
