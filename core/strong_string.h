// Strongly typed strings, for ids. Ids of different kinds neither compare nor
// convert.
#ifndef CORE_STRONG_STRING_H_
#define CORE_STRONG_STRING_H_

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cassiausher {

template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}
  explicit StrongString(std::string_view value) : value_(value) {}
  explicit StrongString(const char* value) : value_(value) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StrongString&) const = default;

 private:
  std::string value_;
};

}  // namespace cassiausher

template <typename Tag>
struct std::hash<cassiausher::StrongString<Tag>> {
  std::size_t operator()(const cassiausher::StrongString<Tag>& id) const {
    return std::hash<std::string>{}(id.value());
  }
};

#endif  // CORE_STRONG_STRING_H_
