#include "core/metrics.h"

#include <fmt/format.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <iterator>
#include <vector>

namespace cassiausher {
namespace {

namespace acc = boost::accumulators;

// Probabilities tracked by the P-square estimator. Those next to a reported
// quantile keep its interpolation accurate.
const std::vector<double>& Probabilities() {
  static const auto& probabilities =
      *new std::vector<double>{0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999};
  return probabilities;
}

constexpr double kReportedQuantiles[] = {0.5, 0.95, 0.99};

// Splits `name{labels}` into the name and the labels without braces.
std::pair<std::string_view, std::string_view> SplitLabels(
    std::string_view full) {
  const std::size_t brace = full.find('{');
  if (brace == std::string_view::npos) return {full, {}};
  return {full.substr(0, brace),
          full.substr(brace + 1, full.size() - brace - 2)};
}

template <typename Map>
auto& FindOrCreate(Map& map, std::string_view name) {
  auto found = map.find(name);
  if (found == map.end()) {
    using Value = typename Map::mapped_type::element_type;
    found = map.emplace(std::string(name), std::make_unique<Value>()).first;
  }
  return *found->second;
}

// Writes one TYPE line per metric family. The members of a family are adjacent
// because the maps are sorted by name.
class FamilyWriter {
 public:
  explicit FamilyWriter(std::string& out) : out_(out) {}

  void WriteType(std::string_view full_name, std::string_view type) {
    const std::string_view family = SplitLabels(full_name).first;
    if (family == last_) return;
    last_ = family;
    fmt::format_to(std::back_inserter(out_), "# TYPE cassiausher_{} {}\n",
                   family, type);
  }

 private:
  std::string& out_;
  std::string_view last_;
};

}  // namespace

struct Distribution::Accumulator {
  using Set =
      acc::accumulator_set<double,
                           acc::stats<acc::tag::count, acc::tag::sum,
                                      acc::tag::extended_p_square_quantile>>;
  Set set{acc::extended_p_square_probabilities = Probabilities()};
};

Distribution::Distribution() : accumulator_(std::make_unique<Accumulator>()) {}
Distribution::~Distribution() = default;

void Distribution::Record(Duration duration) {
  const std::lock_guard lock(mutex_);
  accumulator_->set(static_cast<double>(duration.count()));
}

std::uint64_t Distribution::Count() const {
  const std::lock_guard lock(mutex_);
  return acc::count(accumulator_->set);
}

Duration Distribution::Quantile(double quantile) const {
  const std::lock_guard lock(mutex_);
  // The estimator is undefined until it has one sample for each of its markers;
  // until then the mean is returned.
  if (acc::count(accumulator_->set) < 2 * Probabilities().size() + 3) {
    const auto count = acc::count(accumulator_->set);
    if (count == 0) return Duration(0);
    return Duration(static_cast<std::int64_t>(acc::sum(accumulator_->set) /
                                              static_cast<double>(count)));
  }
  return Duration(static_cast<std::int64_t>(
      acc::quantile(accumulator_->set, acc::quantile_probability = quantile)));
}

Duration Distribution::Sum() const {
  const std::lock_guard lock(mutex_);
  return Duration(static_cast<std::int64_t>(acc::sum(accumulator_->set)));
}

Counter& Metrics::counter(std::string_view name) {
  const std::lock_guard lock(mutex_);
  return FindOrCreate(counters_, name);
}

Gauge& Metrics::gauge(std::string_view name) {
  const std::lock_guard lock(mutex_);
  return FindOrCreate(gauges_, name);
}

Distribution& Metrics::distribution(std::string_view name) {
  const std::lock_guard lock(mutex_);
  return FindOrCreate(distributions_, name);
}

std::string Metrics::Render() const {
  const std::lock_guard lock(mutex_);
  std::string out;
  FamilyWriter families(out);
  for (const auto& [name, counter] : counters_) {
    families.WriteType(name, "counter");
    fmt::format_to(std::back_inserter(out), "cassiausher_{} {}\n", name,
                   counter->value());
  }
  for (const auto& [name, gauge] : gauges_) {
    families.WriteType(name, "gauge");
    fmt::format_to(std::back_inserter(out), "cassiausher_{} {}\n", name,
                   gauge->value());
  }
  for (const auto& [name, distribution] : distributions_) {
    families.WriteType(name, "summary");
    const auto [family, labels] = SplitLabels(name);
    const std::string_view comma = labels.empty() ? "" : ",";
    for (const double quantile : kReportedQuantiles) {
      fmt::format_to(std::back_inserter(out),
                     "cassiausher_{}{{{}{}quantile=\"{}\"}} {}\n", family,
                     labels, comma, quantile,
                     ToSeconds(distribution->Quantile(quantile)));
    }
    const std::string braces =
        labels.empty() ? "" : fmt::format("{{{}}}", labels);
    fmt::format_to(std::back_inserter(out),
                   "cassiausher_{0}_sum{1} {2}\ncassiausher_{0}_count{1} {3}\n",
                   family, braces, ToSeconds(distribution->Sum()),
                   distribution->Count());
  }
  return out;
}

}  // namespace cassiausher
