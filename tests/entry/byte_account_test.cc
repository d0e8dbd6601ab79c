// Guards against answers that together take more memory than the process has,
// and against ending the calls of sound endpoints for it.
#include "servers/entry/byte_account.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace cassiausher {

TEST_GROUP(ByteAccount) {
  ByteAccount account{1000};
  std::vector<std::string> ended;

  ByteAccount::HolderId Add(const std::string& source,
                            const std::string& name) {
    return account.Add(EndpointId(source),
                       [this, name] { ended.push_back(name); });
  }
};

TEST(ByteAccount, WithinTheLimitNoCallEnds) {
  const auto a = Add("a", "a1");
  const auto b = Add("b", "b1");
  account.Set(a, 500);
  account.Set(b, 500);
  account.Set(a, 400);
  LONGS_EQUAL(900, account.bytes());
  account.Remove(a);
  LONGS_EQUAL(500, account.bytes());
  CHECK_TRUE(ended.empty());
}

TEST(ByteAccount, TheLargestCallOfTheEndpointThatHoldsMostIsEnded) {
  const auto sound = Add("sound", "large");
  account.Set(sound, 400);
  const auto first = Add("endless", "first");
  const auto second = Add("endless", "second");
  account.Set(first, 350);
  account.Set(second, 251);
  LONGS_EQUAL(1, ended.size());
  STRCMP_EQUAL("first", ended[0].c_str());
  LONGS_EQUAL(651, account.bytes());
  LONGS_EQUAL(1, account.ended());
}

TEST(ByteAccount, CallsThatGrowWithoutEndNeverExceedTheLimit) {
  std::vector<ByteAccount::HolderId> calls;
  for (int i = 0; i < 20; ++i) calls.push_back(Add("endless", "x"));
  for (int bytes = 10; bytes <= 100; bytes += 10) {
    for (const auto call : calls) {
      account.Set(call, bytes);
      CHECK(account.bytes() <= 1000);
    }
  }
  CHECK(ended.size() <= 10);
}

// The ended call and a new one change the account while it ends calls.
TEST(ByteAccount, CallsMayBeRemovedAndAddedByAnEndedOne) {
  ByteAccount::HolderId first = 0;
  first = account.Add(EndpointId("a"), [&] {
    account.Remove(first);
    Add("b", "retry");
  });
  account.Set(first, 1001);
  LONGS_EQUAL(0, account.bytes());
}

}  // namespace cassiausher
