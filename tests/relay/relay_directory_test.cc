// Guards against helpers that can't help, and against one that all instances
// without a path to endpoints rely on.
#include "servers/relay/relay_directory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
const ServiceId service_id("s");

RelayReport Report(const std::string& address, const std::string& data_centre) {
  return {.offer = RelayHelper{.address = address, .token = RelayToken(1)},
          .data_centre = DataCentreId(data_centre)};
}

}  // namespace

TEST_GROUP(RelayDirectory) {
  RelayDirectory directory{RelayDirectoryOptions{}};

  void AddHelper(const std::string& name, const std::string& data_centre) {
    directory.OnReport(InstanceId(name), Report(name, data_centre), kStart);
  }
  void AddCutOff(const std::string& name, const std::string& data_centre) {
    RelayReport report = Report(name, data_centre);
    report.doubtful = {service_id};
    report.out_of_reach = {service_id};
    directory.OnReport(InstanceId(name), report, kStart);
  }
  std::vector<RelayHelper> Helpers(const std::string& asking,
                                   Time now = kStart) {
    return directory.HelpersFor(InstanceId(asking), service_id, now);
  }
};

TEST(RelayDirectory, AnInstanceWithFailedConnectionsIsNoHelper) {
  AddCutOff("a", "dc1");
  AddCutOff("b", "dc1");
  AddHelper("c", "dc1");
  LONGS_EQUAL(1, Helpers("a").size());
  STRCMP_EQUAL("c", Helpers("a")[0].address.c_str());
  LONGS_EQUAL(2, directory.CutOff(service_id, kStart));
}

TEST(RelayDirectory, OneThatStopsOrFallsSilentIsNoHelper) {
  AddCutOff("a", "dc1");
  AddHelper("b", "dc1");
  directory.OnReport(InstanceId("c"), {.data_centre = DataCentreId("dc1")},
                     kStart);
  LONGS_EQUAL(1, Helpers("a").size());
  LONGS_EQUAL(0, Helpers("a", kStart + Seconds(2)).size());
  directory.Remove(InstanceId("b"));
  LONGS_EQUAL(0, Helpers("a").size());
}

// Half of the helpers are in other data centres, since a whole one may be cut.
TEST(RelayDirectory, HelpersAreInSeveralDataCentres) {
  AddCutOff("a", "dc1");
  for (int i = 0; i < 6; ++i) {
    AddHelper("near" + std::to_string(i), "dc1");
    AddHelper("far" + std::to_string(i), "dc2");
  }
  const auto helpers = Helpers("a");
  LONGS_EQUAL(4, helpers.size());
  const auto near = std::count_if(
      helpers.begin(), helpers.end(),
      [](const auto& helper) { return helper.address.starts_with("near"); });
  LONGS_EQUAL(2, near);
}

TEST(RelayDirectory, TheWorkIsSpreadOverAllThatCanHelp) {
  constexpr int kCutOff = 60;
  constexpr int kHelpers = 240;
  for (int i = 0; i < kCutOff; ++i) AddCutOff("cut" + std::to_string(i), "dc1");
  for (int i = 0; i < kHelpers; ++i) {
    AddHelper("helper" + std::to_string(i), "dc" + std::to_string(2 + i % 4));
  }
  std::map<std::string, int> named;
  for (int i = 0; i < kCutOff; ++i) {
    for (const auto& helper : Helpers("cut" + std::to_string(i))) {
      ++named[helper.address];
    }
  }
  const auto most = std::max_element(
      named.begin(), named.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  CHECK_COMPARE(named.size(), >, static_cast<std::size_t>(kHelpers / 2));
  CHECK_COMPARE(most->second, <=, 6);
}

}  // namespace cassiausher
