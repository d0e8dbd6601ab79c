// Strongly typed arithmetic values, for units and counters.
#ifndef CORE_STRONG_NUMBER_H_
#define CORE_STRONG_NUMBER_H_

#include <compare>
#include <functional>

namespace cassiausher {

template <typename Tag, typename Rep>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) : value_(value) {}

  constexpr Rep value() const { return value_; }

  constexpr auto operator<=>(const StrongNumber&) const = default;

  constexpr StrongNumber& operator+=(StrongNumber other) {
    value_ += other.value_;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ + b.value_);
  }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ - b.value_);
  }

 private:
  Rep value_{};
};

}  // namespace cassiausher

template <typename Tag, typename Rep>
struct std::hash<cassiausher::StrongNumber<Tag, Rep>> {
  std::size_t operator()(
      const cassiausher::StrongNumber<Tag, Rep>& number) const {
    return std::hash<Rep>{}(number.value());
  }
};

#endif  // CORE_STRONG_NUMBER_H_
