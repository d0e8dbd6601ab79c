// Evaluation of `show` queries.
#include "servers/language/query.h"

#include <algorithm>
#include <compare>

namespace cassiausher {
namespace {

/// Unordered if the kinds can't be compared.
std::partial_ordering CompareValues(const Value& a, const Value& b) {
  const auto left = ConvertValue(a, ValueKind::kNumber);
  const auto right = ConvertValue(b, ValueKind::kNumber);
  const bool same_kind = KindOf(a) == KindOf(b);
  if (!same_kind && left && right) {
    return std::get<double>(*left) <=> std::get<double>(*right);
  }
  if (!same_kind) return std::partial_ordering::unordered;
  return std::visit(
      [&](const auto& held) -> std::partial_ordering {
        const auto& other = std::get<std::decay_t<decltype(held)>>(b);
        if (held < other) return std::partial_ordering::less;
        if (other < held) return std::partial_ordering::greater;
        return held == other ? std::partial_ordering::equivalent
                             : std::partial_ordering::unordered;
      },
      a);
}

bool Meets(const Row& row, const Condition& condition) {
  const Value* value = row.Find(condition.field);
  if (value == nullptr) return false;
  const auto order = CompareValues(*value, condition.value);
  if (order == std::partial_ordering::unordered) return false;
  switch (condition.comparison) {
    case Comparison::kEqual:
      return order == 0;
    case Comparison::kNotEqual:
      return order != 0;
    case Comparison::kLess:
      return order < 0;
    case Comparison::kLessOrEqual:
      return order <= 0;
    case Comparison::kGreater:
      return order > 0;
    case Comparison::kGreaterOrEqual:
      return order >= 0;
  }
  return false;
}

bool Matches(const Row& row, const Query& query) {
  if (query.any_of.empty()) return true;
  return std::any_of(
      query.any_of.begin(), query.any_of.end(), [&](const auto& group) {
        return std::all_of(
            group.begin(), group.end(),
            [&](const Condition& condition) { return Meets(row, condition); });
      });
}

bool Precedes(const Row& a, const Row& b, const std::vector<OrderKey>& order) {
  for (const OrderKey& key : order) {
    const Value* left = a.Find(key.field);
    const Value* right = b.Find(key.field);
    if ((left == nullptr) != (right == nullptr)) return left != nullptr;
    if (left == nullptr) continue;
    const auto compared = CompareValues(*left, *right);
    if (compared < 0) return !key.descending;
    if (compared > 0) return key.descending;
  }
  return false;
}

}  // namespace

std::vector<Row> Evaluate(const Query& query, std::vector<Row> rows) {
  std::erase_if(rows, [&](const Row& row) { return !Matches(row, query); });
  std::stable_sort(rows.begin(), rows.end(), [&](const Row& a, const Row& b) {
    return Precedes(a, b, query.order);
  });
  if (query.limit && rows.size() > *query.limit) rows.resize(*query.limit);
  return rows;
}

}  // namespace cassiausher
