// Guards against wrong memory forecasts: if they are too high, callers are
// rejected although there is capacity; if too low, runners preempt streams.
#include "servers/loads/memory_forecast.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/random.h"

namespace cassiausher {
namespace {

constexpr Tokens kStep{1000};

}  // namespace

TEST_GROUP(MemoryForecast){};

TEST(MemoryForecast, AStreamsMemoryGrowsUntilItEnds) {
  const MemoryForecast stream(Tokens(5000), Tokens(2500), kStep);
  LONGS_EQUAL(5000, stream.Now().value());
  LONGS_EQUAL(7000, stream.Peak().value());
  LONGS_EQUAL(0, stream.points().back().value());
}

TEST(MemoryForecast, AnEndingStreamHoldsMemoryAtTheFirstPointOnly) {
  const MemoryForecast stream(Tokens(5000), Tokens(0), kStep);
  LONGS_EQUAL(5000, stream.Peak().value());
  LONGS_EQUAL(0, stream.points()[1].value());
}

TEST(MemoryForecast, WithoutAStepTheForecastIsConstant) {
  const MemoryForecast prompt(Tokens(5000), Tokens(0), Tokens(0));
  LONGS_EQUAL(5000, prompt.points()[0].value());
  LONGS_EQUAL(5000, prompt.points()[1].value());
}

TEST(MemoryForecast, SubtractionUndoesAddition) {
  MemoryForecast sum(Tokens(300), Tokens(2000), kStep);
  const MemoryForecast before = sum;
  const MemoryForecast other(Tokens(700), Tokens(5000), kStep);
  sum += other;
  sum -= other;
  CHECK_TRUE(before.points() == sum.points());
}

// Under steady load, streams are at different stages of their outputs. The
// forecast must be close to their actual combined peak, and well below the sum
// of their individual peaks.
TEST(MemoryForecast, CombinedPeakIsBelowTheSumOfIndividualPeaks) {
  constexpr std::int64_t kPrompt = 5000;
  constexpr std::int64_t kOutput = 4500;
  Random random(1);
  MemoryForecast sum;
  std::vector<std::int64_t> generated;
  for (int i = 0; i < 12; ++i) {
    generated.push_back(static_cast<std::int64_t>(random.Below(kOutput)));
    sum += MemoryForecast(Tokens(kPrompt + generated.back()),
                          Tokens(kOutput - generated.back()), kStep);
  }
  std::int64_t actual_peak = 0;
  for (std::int64_t more = 0; more < kOutput; more += 10) {
    std::int64_t held = 0;
    for (const std::int64_t done : generated) {
      if (done + more <= kOutput) held += kPrompt + done + more;
    }
    actual_peak = std::max(actual_peak, held);
  }
  CHECK_TRUE(sum.Peak().value() <= actual_peak);
  // The memory that placement keeps free covers peaks between two points.
  CHECK_TRUE(sum.Peak().value() >= actual_peak * 90 / 100);
  CHECK_TRUE(sum.Peak().value() < 12 * (kPrompt + kOutput) * 85 / 100);
}

}  // namespace cassiausher
