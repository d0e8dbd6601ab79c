// Guards against invalid Prometheus text and inaccurate quantile estimates.
#include "core/metrics.h"

#include <CppUTest/TestHarness.h>

#include <string>

using cassiausher::Duration;
using cassiausher::Metrics;

TEST_GROUP(Metrics){};

TEST(Metrics, CounterIsRenderedWithItsLabels) {
  Metrics metrics;
  metrics.counter("requests_total{class=\"short\"}").Add(3);
  const std::string text = metrics.Render();
  CHECK(text.find("# TYPE cassiausher_requests_total counter\n") !=
        std::string::npos);
  CHECK(text.find("cassiausher_requests_total{class=\"short\"} 3\n") !=
        std::string::npos);
}

TEST(Metrics, QuantilesOfUniformDurationsAreWithinTwoPercent) {
  Metrics metrics;
  auto& distribution = metrics.distribution("latency_seconds");
  // 7919 is coprime to 10000, so every value occurs once, in mixed order.
  for (int i = 0; i < 10000; ++i) {
    distribution.Record(Duration((i * 7919) % 10000));
  }
  DOUBLES_EQUAL(5000, distribution.Quantile(0.5).count(), 200);
  DOUBLES_EQUAL(9500, distribution.Quantile(0.95).count(), 200);
  DOUBLES_EQUAL(9900, distribution.Quantile(0.99).count(), 200);
}

TEST(Metrics, DistributionWithFewSamplesReportsTheirMean) {
  Metrics metrics;
  auto& distribution = metrics.distribution("few_seconds");
  LONGS_EQUAL(0, distribution.Quantile(0.99).count());
  distribution.Record(Duration(10));
  distribution.Record(Duration(30));
  LONGS_EQUAL(20, distribution.Quantile(0.99).count());
}
