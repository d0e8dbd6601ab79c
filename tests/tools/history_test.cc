// Guards against a history that loses recorded data, and against a truncated or
// corrupted one that is accepted as complete.
#include "tools/load/history.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "tools/fake_endpoint/answer_text.h"

using cassiausher::AppendToken;
using cassiausher::Attempt;
using cassiausher::EncodeAnswer;
using cassiausher::Findings;
using cassiausher::FormatAttempt;
using cassiausher::History;
using cassiausher::HistoryWriter;
using cassiausher::NotRun;
using cassiausher::Outcome;
using cassiausher::ReadHistory;

namespace {

constexpr const char* kHeader =
    R"({"type":"header","version":1,"started_unix_ms":7})";
constexpr const char* kFooter = R"({"type":"footer"})";

std::string Tokens(std::uint32_t hash, int first, int last, int total) {
  std::string text;
  for (int n = first; n <= last; ++n) AppendToken(hash, n, total, &text);
  return text;
}

}  // namespace

TEST_GROUP(History) {
  const std::string path = "history_test.jsonl";
  Findings findings;

  void teardown() override { std::remove(path.c_str()); }

  History Read(const std::string& text) {
    std::ofstream(path) << text;
    return ReadHistory(path, &findings);
  }
  void CheckFinding(const char* place, const char* message) {
    CHECK(!findings.empty());
    STRCMP_CONTAINS(place, findings.items()[0].place.c_str());
    STRCMP_CONTAINS(message, findings.items()[0].message.c_str());
  }
};

TEST(History, EncodedAnswerShowsRepeatedMixedAndInvalidTokens) {
  const std::string whole = Tokens(0xab, 1, 5, 5);
  STRCMP_EQUAL("000000ab:1-5.", EncodeAnswer(whole).c_str());
  STRCMP_EQUAL(
      "000000ab:1-2,000000ab:2-5.",
      EncodeAnswer(Tokens(0xab, 1, 2, 5) + Tokens(0xab, 2, 5, 5)).c_str());
  STRCMP_EQUAL("000000ab:1-2,000000cd:3-3,000000ab:4-5.",
               EncodeAnswer(Tokens(0xab, 1, 2, 5) + Tokens(0xcd, 3, 3, 5) +
                            Tokens(0xab, 4, 5, 5))
                   .c_str());
  STRCMP_EQUAL("000000ab:1-5.,000000ab:1-5.",
               EncodeAnswer(whole + whole).c_str());
  STRCMP_EQUAL("000000ab:1-1!t000000ab-",
               EncodeAnswer(Tokens(0xab, 1, 1, 5) + "t000000ab-").c_str());
  STRCMP_EQUAL("", EncodeAnswer("").c_str());
}

TEST(History, WrittenHistoryIsReadBackUnchanged) {
  Attempt attempt;
  attempt.id = "r1";
  attempt.key = "k1";
  attempt.service = "a \"quoted\" service";
  attempt.instance = "i1";
  attempt.text_hash = 0xffffffff;
  attempt.stream = true;
  attempt.idempotent = false;
  attempt.sent_us = 1;
  attempt.first_us = 2;
  attempt.end_us = 3;
  attempt.status = 503;
  attempt.outcome = Outcome::kRefused;
  attempt.not_run = NotRun::kTrue;
  attempt.answer = "000000ab:1-2!\n";
  attempt.code = "overloaded";
  HistoryWriter writer;
  CHECK(writer.Open(path));
  writer.Add(kHeader);
  writer.Add(FormatAttempt(attempt));
  writer.Add(R"({"type":"state","after_ms":5000,"state":{"name":"e1"}})");
  writer.Add(R"({"type":"fault","fault":"kill","target":"i1","unix_ms":9})");
  writer.Add(kFooter);
  CHECK(writer.Close());

  const History history = ReadHistory(path, &findings);
  CHECK(findings.empty());
  CHECK(history.complete);
  LONGS_EQUAL(7, history.started_unix_ms);
  LONGS_EQUAL(5000, history.states_after_ms);
  LONGS_EQUAL(1, history.states.size());
  STRCMP_EQUAL("i1", history.faults.at(0).target.c_str());
  STRCMP_EQUAL(FormatAttempt(attempt).c_str(),
               FormatAttempt(history.attempts.at(0)).c_str());
}

TEST(History, HistoryWithoutFooterIsRejected) {
  const History history = Read(std::string(kHeader) + "\n");
  CHECK(!history.complete);
  CheckFinding(path.c_str(), "cut short");
}

TEST(History, TruncatedLineIsRejected) {
  Read(std::string(kHeader) + "\n{\"type\":\"attempt\",\"id\":\"r");
  CheckFinding(":2", "parse error");
}

TEST(History, MissingHeaderAndLinesAfterFooterAreRejected) {
  Read(std::string(kFooter) + "\n" + kHeader + "\n");
  CHECK(!findings.empty());
  Findings first = findings;
  findings = {};
  Read(std::string(kFooter) + "\n");
  CheckFinding(path.c_str(), "no header");
}

TEST(History, AttemptWithMissingFieldIsRejected) {
  Read(std::string(kHeader) + "\n{\"type\":\"attempt\",\"id\":\"r1\"}\n" +
       kFooter + "\n");
  CheckFinding(":2", "key");
}

TEST(History, MissingFileIsRejected) {
  ReadHistory("no_such_file.jsonl", &findings);
  CheckFinding("no_such_file.jsonl", "can't be read");
}
