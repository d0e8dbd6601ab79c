// Guards against an older configuration replacing a newer one, and against two
// documents under one version.
#include "servers/control/configuration_register.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "core/random.h"

namespace cassiausher {

TEST_GROUP(ConfigurationRegister){};

TEST(ConfigurationRegister, OnlyHigherVersionsAreApplied) {
  ConfigurationRegister configuration;
  CHECK_TRUE(configuration.Apply({Revision(5), "five"}));
  CHECK_FALSE(configuration.Apply({Revision(3), "three"}));
  CHECK_TRUE(configuration.Apply({Revision(9), "nine"}));
  CHECK_EQUAL(9u, configuration.current().version.value());
  STRCMP_EQUAL("nine", configuration.current().document.c_str());
}

// Two operators submit different documents under the same version.
TEST(ConfigurationRegister, SecondDocumentOfAVersionIsRejected) {
  ConfigurationRegister configuration;
  configuration.Apply({Revision(5), "first"});
  CHECK_FALSE(configuration.Apply({Revision(5), "second"}));
  STRCMP_EQUAL("first", configuration.current().document.c_str());
}

TEST(ConfigurationRegister, VersionNeverDecreasesInAnyOrderOfDocuments) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    ConfigurationRegister configuration;
    Revision highest(0);
    for (int i = 0; i < 20; ++i) {
      const Revision version(random.Below(15));
      const Revision before = configuration.current().version;
      configuration.Apply({version, std::to_string(random.Below(1000))});
      highest = std::max(highest, version);
      CHECK_TRUE(configuration.current().version >= before);
      CHECK_TRUE(configuration.current().version == highest);
    }
  }
}

}  // namespace cassiausher
