// Guards against node settings from the platform's template that are ignored,
// and against errors in them that aren't reported.
#include "main/node/node_settings.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>

namespace cassiausher {
namespace {

constexpr const char* kSettings = R"({"instance":"front-1",
  "address":"10.0.0.1","data_centre":"z","listen":{"callers":"10.0.0.1:80",
  "readiness":"10.0.0.1:81"},"peer_port":7660,"seeds":["10.0.0.2:90"],
  "first_start":true,"data_folder":"","shutdown_grace_s":8,
  "retry_budget":{"ratio":0.2,"allowance":52}})";

}  // namespace

TEST_GROUP(NodeSettings) { Findings findings; };

TEST(NodeSettings, ValidSettingsAreParsed) {
  const NodeSettings settings =
      ReadNodeSettings(kSettings, "node.json", &findings);
  CHECK_TRUE(findings.empty());
  STRCMP_EQUAL("10.0.0.1:80", settings.callers->text().c_str());
  CHECK_FALSE(settings.control.has_value());
  LONGS_EQUAL(7660, settings.peer_port);
  LONGS_EQUAL(1, settings.seeds.size());
  CHECK_TRUE(settings.first_start);
  CHECK_TRUE(settings.shutdown_grace == Seconds(8));
  DOUBLES_EQUAL(52, settings.retry_allowance, 0);
}

TEST(NodeSettings, EveryErrorIsReported) {
  ReadNodeSettings(R"({"instance":7,"address":"x","listen":{"callers":"y"},
                      "seeds":["z"],"surprise":1})",
                   "node.json", &findings);
  // A wrong type, two missing keys, two malformed addresses, an unknown key.
  CHECK_TRUE(findings.items().size() >= 6);
}

// Bounds may be fractions, and 0; such a grace period refused each start.
TEST(NodeSettings, TheGracePeriodMayBeAnyFraction) {
  for (const auto& [text, grace] :
       {std::pair("0", Seconds(0)), std::pair("2.5", Milliseconds(2500)),
        std::pair("null", Seconds(8))}) {
    std::string settings = kSettings;
    settings.replace(settings.find("_s\":8"), 5, "_s\":" + std::string(text));
    CHECK_TRUE(
        ReadNodeSettings(settings, "node.json", &findings).shutdown_grace ==
        grace);
    CHECK_TRUE(findings.empty());
  }
  CHECK_TRUE(ServingPart(Seconds(8), Seconds(1)) == Seconds(7));
  CHECK_TRUE(ServingPart(Milliseconds(600), Seconds(1)) == Milliseconds(300));
}

// The size of the group of voters follows from it.
TEST(NodeSettings, ToleratedLossesAreReadAndBounded) {
  CHECK_FALSE(ReadNodeSettings(kSettings, "node.json", &findings)
                  .tolerated_losses.has_value());
  std::string settings = kSettings;
  settings.insert(1, R"("tolerated_losses":2,)");
  LONGS_EQUAL(
      2, *ReadNodeSettings(settings, "node.json", &findings).tolerated_losses);
  CHECK_TRUE(findings.empty());
  settings = kSettings;
  settings.insert(1, R"("tolerated_losses":0,)");
  ReadNodeSettings(settings, "node.json", &findings);
  CHECK_FALSE(findings.empty());
}

// The limits of what clients may make a process hold follow from it.
TEST(NodeSettings, TheMemoryIsReadAndHasALowestValue) {
  const auto read = [this](const std::string& limits) {
    std::string settings = kSettings;
    settings.insert(1, "\"limits\":" + limits + ",");
    return ReadNodeSettings(settings, "node.json", &findings).memory_mb;
  };
  LONGS_EQUAL(96, read(R"({"memory_mb":96})").value());
  CHECK_FALSE(read(R"({"memory_mb":null})").has_value());
  CHECK_FALSE(read("null").has_value());
  CHECK_TRUE(findings.empty());
  read(R"({"memory_mb":20})");
  LONGS_EQUAL(1, findings.items().size());
  read(R"({"memory":96})");
  LONGS_EQUAL(2, findings.items().size());
}

TEST(NodeSettings, InvalidJsonAndUnreadableFileAreReported) {
  ReadNodeSettings("instance: front", "node.json", &findings);
  CHECK_FALSE(findings.empty());
  Findings missing;
  std::string text;
  CHECK_FALSE(ReadFile("/nonexistent/node.json", &text, &missing));
  CHECK_FALSE(missing.empty());
}

}  // namespace cassiausher
