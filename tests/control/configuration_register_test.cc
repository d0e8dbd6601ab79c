// Guards the order of configurations: none older comes back, and the document
// of a version never changes.
#include "servers/control/configuration_register.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "core/random.h"

namespace cassiausher {

TEST_GROUP(ConfigurationRegister){};

TEST(ConfigurationRegister, TakesHigherVersionsOnly) {
  ConfigurationRegister current;
  CHECK_TRUE(current.Apply({Revision(5), "five"}));
  CHECK_FALSE(current.Apply({Revision(3), "three"}));
  CHECK_TRUE(current.Apply({Revision(9), "nine"}));
  CHECK_EQUAL(9u, current.current().version.value());
  STRCMP_EQUAL("nine", current.current().document.c_str());
}

// Two operators send other content under one version.
TEST(ConfigurationRegister, KeepsTheFirstDocumentOfAVersion) {
  ConfigurationRegister current;
  current.Apply({Revision(5), "first"});
  CHECK_FALSE(current.Apply({Revision(5), "second"}));
  STRCMP_EQUAL("first", current.current().document.c_str());
}

TEST(ConfigurationRegister, BytesKeepTheDocument) {
  const VersionedDocument document{Revision(7), std::string("a\0b", 3)};
  VersionedDocument decoded;
  CHECK_TRUE(Decode(Encode(document), &decoded));
  CHECK_TRUE(document == decoded);
  CHECK_FALSE(Decode("\xff\xff\xff", &decoded));
}

TEST(ConfigurationRegister, NeverGoesBackWhateverTheOrder) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    ConfigurationRegister current;
    Revision highest(0);
    for (int i = 0; i < 20; ++i) {
      const Revision version(random.Below(15));
      const Revision before = current.current().version;
      current.Apply({version, std::to_string(random.Below(1000))});
      highest = std::max(highest, version);
      CHECK_TRUE(current.current().version >= before);
      CHECK_TRUE(current.current().version == highest);
    }
  }
}

}  // namespace cassiausher
