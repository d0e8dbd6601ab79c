// Guards against two names of one host that are told apart.
#include "core/host_name.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {

TEST_GROUP(HostName){};

TEST(HostName, HasNoCase) {
  STRCMP_EQUAL("kiosk.example", CanonicalHost("Kiosk.EXAMPLE").c_str());
  // Letters beyond ASCII have a case of their own.
  STRCMP_EQUAL("\xc3\x84.example", CanonicalHost("\xc3\x84.Example").c_str());
}

TEST(HostName, IsTheAuthorityWithoutThePort) {
  CHECK(HostOf("a.example:80") == "a.example");
  CHECK(HostOf("a.example") == "a.example");
  CHECK(HostOf("[::1]:80") == "[::1]");
  CHECK(HostOf("[::1]") == "[::1]");
}

}  // namespace cassiausher
