// Guards against bytes that are taken for the head of an answer although the
// answer hasn't begun.
#include "drivers/answer_head.h"

#include <CppUTest/TestHarness.h>

#include <initializer_list>
#include <string>

using namespace cassiausher;  // NOLINT: test file

namespace {

bool AddAll(std::initializer_list<const char*> lines, AnswerHead* head) {
  for (const char* line : lines) {
    if (!head->Add(std::string(line) + "\r\n")) return false;
  }
  return true;
}

bool IsRefused(std::initializer_list<const char*> lines) {
  AnswerHead head;
  return !AddAll(lines, &head) && !head.complete() && head.status() == 0 &&
         !head.fault().empty();
}

}  // namespace

TEST_GROUP(AnswerHead){};

TEST(AnswerHead, InformationalAnswersPrecedeTheFinalOne) {
  AnswerHead head;
  CHECK_TRUE(AddAll({"HTTP/1.1 100 Continue", "", "HTTP/1.1 103 Early Hints",
                     "Link: </a>", "", "HTTP/1.1 199", ""},
                    &head));
  LONGS_EQUAL(3, head.informational());
  CHECK_FALSE(head.complete());
  LONGS_EQUAL(0, head.status());
  CHECK_TRUE(AddAll({"HTTP/1.0 404 Not Found", "A : b", "C:", ""}, &head));
  LONGS_EQUAL(404, head.status());
  const auto value = [&](const char* name) {
    return soup_message_headers_get_one(head.headers().get(), name);
  };
  STRCMP_EQUAL("b", value("A"));
  STRCMP_EQUAL("", value("C"));
  POINTERS_EQUAL(nullptr, value("Link"));
  // A trailer changes nothing.
  CHECK_TRUE(AddAll({"HTTP/1.1 200 OK", "D: e"}, &head));
  POINTERS_EQUAL(nullptr, value("D"));
}

TEST(AnswerHead, AnUnrequestedSwitchOfProtocolsIsNoAnswer) {
  CHECK_TRUE(IsRefused({"HTTP/1.1 101 Switching Protocols"}));
  CHECK_TRUE(IsRefused({"HTTP/1.1 100 Continue", "", "HTTP/1.1 101 OK"}));
}

TEST(AnswerHead, StatusesOutOfRangeAreNoAnswer) {
  for (const char* status : {"000", "042", "099", "600", "999", "1000", "20",
                             "2x0", "-20", "", "20000000000000000000"}) {
    const std::string line = std::string("HTTP/1.1 ") + status + " OK";
    CHECK_TRUE_TEXT(IsRefused({line.c_str()}), status);
  }
}

TEST(AnswerHead, AHeadBeginsWithItsStatusLine) {
  for (const char* line : {"", "hello", "HTTP/1.1", "HTTP/2 200", "ICY 200 OK",
                           "HTTP/1.1\t200 OK", "Content-Length: 0"}) {
    CHECK_TRUE_TEXT(IsRefused({line}), line);
  }
  CHECK_TRUE(IsRefused({"HTTP/1.1 100 Continue", "", "Content-Length: 0"}));
}

TEST(AnswerHead, LinesThatAreNoHeadersAreRefused) {
  for (const char* line : {"no colon", ": value", " : value", " folded: line",
                           "two words: value", "HTTP/1.1 200 OK"}) {
    CHECK_TRUE_TEXT(IsRefused({"HTTP/1.1 200 OK", "A: b", line}), line);
  }
}

// What follows it could be taken for its body or for the next head.
TEST(AnswerHead, AnInformationalAnswerHasNoBody) {
  CHECK_TRUE(IsRefused({"HTTP/1.1 103 Hints", "Content-Length: 2", ""}));
  CHECK_TRUE(
      IsRefused({"HTTP/1.1 100 Continue", "Transfer-Encoding: chunked", ""}));
}

TEST(AnswerHead, ABodyHasOneLength) {
  CHECK_TRUE(IsRefused(
      {"HTTP/1.1 200 OK", "Content-Length: 2", "Content-Length: 5", ""}));
  CHECK_TRUE(IsRefused({"HTTP/1.1 200 OK", "Transfer-Encoding: chunked",
                        "Content-Length: 5", ""}));
  AnswerHead head;
  CHECK_TRUE(
      AddAll({"HTTP/1.1 200 OK", "Content-Length: 5", "Content-Length: 5", ""},
             &head));
  LONGS_EQUAL(200, head.status());
}
