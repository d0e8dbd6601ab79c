// A wrong, truncated or extended token, or a stored hash, must not authenticate
// as a token's owner.
#include "main/daemon/token_table.h"

#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

TEST_GROUP(TokenTable){};

TEST(TokenTable, OnlyTheExactTokenFindsItsOwner) {
  TokenTable table;
  table.Add(Sha256Hex("secret"), {"shop", ""});
  STRCMP_EQUAL("shop", table.Find("secret")->name.c_str());
  for (const char* wrong : {"", "secre", "secret ", "Secret"}) {
    CHECK_FALSE(table.Find(wrong).has_value());
  }
  // The stored hash is not a token.
  CHECK_FALSE(table.Find(Sha256Hex("secret")).has_value());
}

TEST(TokenTable, OnlyTheBearerSchemeIsAccepted) {
  CHECK(BearerToken("Bearer abc") == "abc");
  CHECK(BearerToken("Basic abc").empty());
  CHECK(BearerToken("bearer").empty());
}
