// Guards against requests that take the wrong route or target, and against
// unusable configurations that pass validation.
#include "servers/control/serving_configuration.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <limits>

namespace cassiausher {
namespace {

Route MakeRoute(const char* name, const char* prefix, const char* service) {
  return {.name = name,
          .host = "a.example",
          .path_prefix = prefix,
          .targets = {{ServiceId(service), 1}}};
}

ServingConfiguration MakeConfiguration() {
  ServingConfiguration configuration;
  configuration.version = Revision(3);
  configuration.routes = {MakeRoute("short", "/a/", "s"),
                          MakeRoute("long", "/a/b/", "s")};
  configuration.services[ServiceId("s")] = {.id = ServiceId("s")};
  return configuration;
}

}  // namespace

TEST_GROUP(ServingConfiguration){};

TEST(ServingConfiguration, RouteWithTheLongestPrefixIsFound) {
  const RouteTable table(MakeConfiguration());
  STRCMP_EQUAL("long", table.Find("a.example", "/a/b/c")->name.c_str());
  STRCMP_EQUAL("short", table.Find("a.example", "/a/c")->name.c_str());
  POINTERS_EQUAL(nullptr, table.Find("a.example", "/b/"));
  POINTERS_EQUAL(nullptr, table.Find("b.example", "/a/"));
}

// A caller that wrote the host in capitals got 404.
TEST(ServingConfiguration, HostsAreTheSameInAnyCase) {
  const RouteTable table(MakeConfiguration());
  STRCMP_EQUAL("short", table.Find("A.Example", "/a/c")->name.c_str());
  POINTERS_EQUAL(nullptr, table.Find("A.Exampl", "/a/c"));
}

TEST(ServingConfiguration, ValidConfigurationHasNoFindings) {
  CHECK_TRUE(Validate(MakeConfiguration()).empty());
}

TEST(ServingConfiguration, InvalidRoutesAreReported) {
  ServingConfiguration unknown = MakeConfiguration();
  unknown.routes[0].targets = {{ServiceId("x"), 1}};
  CHECK_FALSE(Validate(unknown).empty());

  ServingConfiguration same_prefix = MakeConfiguration();
  same_prefix.routes[1].path_prefix = "/a/";
  CHECK_FALSE(Validate(same_prefix).empty());
  // Review case 15: it was acknowledged, and one route took the requests of
  // both.
  same_prefix.routes[1].host = "A.Example";
  CHECK_FALSE(Validate(same_prefix).empty());

  ServingConfiguration no_weight = MakeConfiguration();
  no_weight.routes[0].targets = {{ServiceId("s"), 0}, {ServiceId("s"), 0}};
  CHECK_FALSE(Validate(no_weight).empty());

  ServingConfiguration no_timeout = MakeConfiguration();
  no_timeout.routes[0].timeout = Duration(0);
  CHECK_FALSE(Validate(no_timeout).empty());
}

// The sum of the weights overflowed.
TEST(ServingConfiguration, WeightsOutOfRangeAreReported) {
  const std::int64_t largest = std::numeric_limits<std::int64_t>::max();
  for (const std::int64_t weight :
       {std::int64_t{-1}, std::int64_t{1} << 31, largest}) {
    ServingConfiguration configuration = MakeConfiguration();
    configuration.routes[0].targets = {{ServiceId("s"), weight},
                                       {ServiceId("s"), weight},
                                       {ServiceId("s"), 5}};
    LONGS_EQUAL(2, Validate(configuration).items().size());
  }
}

TEST(ServingConfiguration, TargetIsPickedByWeight) {
  Route route = MakeRoute("split", "/a/", "s");
  route.targets = {
      {ServiceId("a"), 90}, {ServiceId("none"), 0}, {ServiceId("b"), 10}};
  STRCMP_EQUAL("a", PickTarget(route, 0.0).service.value().c_str());
  STRCMP_EQUAL("a", PickTarget(route, 0.89).service.value().c_str());
  STRCMP_EQUAL("b", PickTarget(route, 0.91).service.value().c_str());
  STRCMP_EQUAL("b", PickTarget(route, 0.999999).service.value().c_str());
}

// A request could have run for either of two accounts.
TEST(ServingConfiguration, AccountsThatShareAKeyOrANameAreReported) {
  ServingConfiguration configuration = MakeConfiguration();
  configuration.accounts = {{.id = AccountId("a"), .keys = {"k1"}},
                            {.id = AccountId("b"), .keys = {"k2"}}};
  CHECK_TRUE(Validate(configuration).empty());
  configuration.accounts->at(1).keys = {"k2", "k1"};
  CHECK_FALSE(Validate(configuration).empty());
  // A finding never shows a key.
  CHECK_TRUE(ToString(Validate(configuration)).find("k1") == std::string::npos);
  configuration.accounts->at(1) = {.id = AccountId("a"), .keys = {"k2"}};
  CHECK_FALSE(Validate(configuration).empty());
  configuration.accounts->at(1) = {.id = AccountId("b"), .keys = {""}};
  CHECK_FALSE(Validate(configuration).empty());
  configuration.accounts->at(1) = {.keys = {"k2"}};
  CHECK_FALSE(Validate(configuration).empty());
}

TEST(ServingConfiguration, OnlyRoutesThatArentPublicNeedAKey) {
  ServingConfiguration configuration = MakeConfiguration();
  configuration.routes[0].is_public = true;
  const RouteTable without(configuration);
  CHECK_FALSE(without.NeedsKey(configuration.routes[1]));
  configuration.accounts.emplace();
  const RouteTable with(configuration);
  CHECK_FALSE(with.NeedsKey(configuration.routes[0]));
  CHECK_TRUE(with.NeedsKey(configuration.routes[1]));
}

}  // namespace cassiausher
