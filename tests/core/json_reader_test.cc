// Guards against JSON that ends the process: the library throws, or recurses as
// deep as a value is nested.
#include "core/json_reader.h"

#include <CppUTest/TestHarness.h>

#include <string>

using cassiausher::DumpJson;
using cassiausher::Findings;
using cassiausher::kMaxJsonDepth;
using cassiausher::ParseJson;

namespace {

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']');
}

}  // namespace

TEST_GROUP(ParseJson){};

// Such a number in a heartbeat or a change ended control instances: SIGABRT.
TEST(ParseJson, ANumberOutOfRangeIsAFinding) {
  for (const char* text : {"1e999", R"({"seq": -1e999})", "[1E+400]"}) {
    Findings findings;
    CHECK_TRUE(ParseJson(text, "body", &findings).is_discarded());
    LONGS_EQUAL(1, findings.items().size());
    CHECK_TRUE(ParseJson(text).is_discarded());
  }
}

TEST(ParseJson, NestingIsLimited) {
  Findings findings;
  CHECK_TRUE(ParseJson(Nested(kMaxJsonDepth), "body", &findings).is_array());
  CHECK_TRUE(findings.empty());
  CHECK_TRUE(
      ParseJson(Nested(kMaxJsonDepth + 1), "body", &findings).is_discarded());
  LONGS_EQUAL(1, findings.items().size());
  // Such a body overflowed the stack when a part of it was printed.
  CHECK_TRUE(ParseJson(Nested(1000000)).is_discarded());
}

TEST(ParseJson, BracketsInStringsDoNotNest) {
  const std::string text = R"(["\")" + std::string(1000, '[') + R"("])";
  CHECK_TRUE(ParseJson(text).is_array());
}

// The library's own default throws at bytes that aren't UTF-8.
TEST(ParseJson, AnyBytesCanBePrinted) {
  const std::string text = DumpJson(nlohmann::json("a\xff"));
  CHECK_TRUE(ParseJson(text).is_string());
}
