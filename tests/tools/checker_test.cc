// Guards against a checker that misses a violation: each test checks a history
// that breaks one invariant.
#include "tools/load/checker.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using cassiausher::Attempt;
using cassiausher::CheckHistory;
using cassiausher::History;
using cassiausher::NotRun;
using cassiausher::Outcome;
using cassiausher::Violation;
using nlohmann::json;

namespace {

constexpr std::uint32_t kHash = 0xabcd0001;
constexpr std::uint32_t kOtherHash = 0xabcd0002;

Attempt Answered(const char* id, std::uint32_t hash, const char* answer) {
  Attempt attempt;
  attempt.id = id;
  attempt.instance = "i1";
  attempt.service = "service";
  attempt.text_hash = hash;
  attempt.sent_us = 1'000'000;
  attempt.end_us = 2'000'000;
  attempt.status = 200;
  attempt.outcome = Outcome::kAnswered;
  attempt.answer = answer;
  return attempt;
}

/// Two requests, each answered completely and executed once.
History CleanHistory() {
  History history;
  history.complete = true;
  history.started_unix_ms = 1'000'000;
  history.attempts = {Answered("r1", kHash, "abcd0001:1-9."),
                      Answered("r2", kOtherHash, "abcd0002:1-3.")};
  history.states_after_ms = 5000;
  history.states = {{{"name", "e1"},
                     {"held_sessions", 0},
                     {"held_kv_bytes", 0},
                     {"executions", {{"r1~i1~0~7", 1}, {"r2~i1~0~8", 1}}},
                     {"new_work_2s_after_departing", 0}}};
  return history;
}

}  // namespace

TEST_GROUP(Checker) {
  History history = CleanHistory();

  void CheckViolation(const char* invariant, const char* message_part) {
    const std::vector<Violation> violations = CheckHistory(history);
    LONGS_EQUAL(1, violations.size());
    STRCMP_EQUAL(invariant, violations[0].invariant.c_str());
    STRCMP_CONTAINS(message_part, violations[0].message.c_str());
  }
  void CheckAnswerViolation(const char* answer, const char* invariant,
                            const char* message_part) {
    history.attempts[0].answer = answer;
    CheckViolation(invariant, message_part);
  }
};

TEST(Checker, CleanHistoryHasNoViolations) {
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST(Checker, MissingTokensAreLost) {
  CheckAnswerViolation("abcd0001:1-4,abcd0001:6-9.", "lost", "tokens 5 to 5");
}

TEST(Checker, MissingFirstTokenIsLost) {
  CheckAnswerViolation("abcd0001:2-9.", "lost", "tokens 1 to 1");
}

TEST(Checker, RepeatedTokenIsDoubled) {
  CheckAnswerViolation("abcd0001:1-4,abcd0001:4-9.", "doubled", "token 4");
}

TEST(Checker, RepeatedAnswerIsDoubled) {
  CheckAnswerViolation("abcd0001:1-9.,abcd0001:1-9.", "doubled", "token 1");
}

TEST(Checker, TokensOfAnotherRequestAreMixed) {
  CheckAnswerViolation("abcd0001:1-4,abcd0002:5-5,abcd0001:6-9.", "mixed",
                       "text of r2");
}

TEST(Checker, AnswerToAnotherRequestIsReported) {
  CheckAnswerViolation("abcd0002:1-3.", "other_request", "text of r2");
}

TEST(Checker, TextWithoutLastTokenIsCut) {
  CheckAnswerViolation("abcd0001:1-8", "cut", "after token 8");
}

TEST(Checker, EmptyAnswerIsCut) {
  CheckAnswerViolation("", "cut", "\"id\":\"r1\"");
}

TEST(Checker, TextThatIsNotATokenIsMalformed) {
  CheckAnswerViolation("abcd0001:1-8!sorry", "malformed", "sorry");
}

TEST(Checker, StreamWithoutEndMarkIsCut) {
  history.attempts[0].outcome = Outcome::kCut;
  CheckViolation("cut", "end mark");
}

TEST(Checker, TimedOutAttemptIsLost) {
  history.attempts[0].outcome = Outcome::kTimedOut;
  history.attempts[0].answer = "";
  CheckViolation("lost", "no answer came");
}

TEST(Checker, BrokenConnectionIsCutUnlessInstanceWasKilled) {
  history.attempts[0].outcome = Outcome::kBroken;
  history.attempts[0].answer = "abcd0001:1-3";
  CheckViolation("cut", "broke");
  history.faults = {{"kill", "i2", 1'001'500, 0}};
  CheckViolation("cut", "broke");
  history.faults = {{"kill", "i1", 1'090'000, 0}};
  CheckViolation("cut", "broke");
  // A graceful shutdown must not cut answers.
  history.faults = {{"term", "i1", 1'001'500, 0}};
  CheckViolation("cut", "broke");
  history.faults = {{"kill", "i1", 1'001'500, 0}};
  LONGS_EQUAL(0, CheckHistory(history).size());
  // The text received before the kill must still be correct.
  CheckAnswerViolation("abcd0001:1-3,abcd0001:5-5", "lost", "tokens 4 to 4");
}

TEST(Checker, CutStreamIsReportedUnlessInstanceWasKilled) {
  history.attempts[0].outcome = Outcome::kCut;
  history.attempts[0].answer = "abcd0001:1-3";
  history.faults = {{"term", "i1", 1'001'500, 0}};
  CheckViolation("cut", "end mark");
  history.faults = {{"kill", "i1", 1'001'500, 0}};
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST(Checker, TextOfCancelledAttemptIsChecked) {
  history.attempts[0].outcome = Outcome::kCancelled;
  history.attempts[0].answer = "abcd0001:1-4";
  LONGS_EQUAL(0, CheckHistory(history).size());
  CheckAnswerViolation("abcd0001:1-4,abcd0001:3-5", "doubled", "token 3");
}

TEST(Checker, ExecutionAfterNotRunTrueIsReported) {
  history.attempts[0].outcome = Outcome::kRefused;
  history.attempts[0].not_run = NotRun::kTrue;
  CheckViolation("not_run_but_executed", "\"id\":\"r1\"");
}

TEST(Checker, ExecutionByAnotherAttemptOfSameKeyIsAllowed) {
  history.attempts[0].key = "k1";
  history.attempts.push_back(history.attempts[0]);
  history.attempts[0].outcome = Outcome::kRefused;
  history.attempts[0].not_run = NotRun::kTrue;
  history.states[0]["executions"]["k1"] = 1;
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST(Checker, SecondExecutionOfNonIdempotentKeyIsReported) {
  history.attempts[0].key = "k1";
  history.attempts[0].idempotent = false;
  history.states[0]["executions"]["k1"] = 1;
  LONGS_EQUAL(0, CheckHistory(history).size());
  // The second execution happens at another endpoint.
  history.states.push_back({{"name", "e2"}, {"executions", {{"k1", 1}}}});
  CheckViolation("executed_twice", "executed 2 times");
  history.attempts[0].idempotent = true;
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST(Checker, AnswerWithoutExecutionIsReported) {
  history.states[0]["executions"].erase("r1~i1~0~7");
  CheckViolation("unknown_execution", "\"id\":\"r1\"");
  // The execution counts of an endpoint that exited are lost.
  history.faults = {{"kill", "e1", 1'001'500, 0}};
  LONGS_EQUAL(0, CheckHistory(history).size());
  history.faults.clear();
  history.states.push_back({{"name", "e2"}, {"unreachable", true}});
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST(Checker, MemoryHeldAfterLastCallerIsReported) {
  history.states[0]["held_kv_bytes"] = 4096;
  CheckViolation("held_memory", "e1 holds 0 sessions and 4096 bytes");
  history.states[0]["held_kv_bytes"] = 0;
  history.states[0]["held_sessions"] = 1;
  CheckViolation("held_memory", "e1 holds 1 sessions");
}

TEST(Checker, NewWorkAfterDepartureIsReported) {
  history.states[0]["new_work_2s_after_departing"] = 3;
  CheckViolation("work_after_departure", "e1 got 3 calls");
}

TEST(Checker, PlainAnswerToAnotherRequestIsReported) {
  history.attempts[0].plain = true;
  CheckAnswerViolation("abcd0002", "other_request", "another call");
  history.attempts[0].answer = "abcd0001";
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST(Checker, InvalidAnswerIsMalformed) {
  history.attempts[0].outcome = Outcome::kMalformed;
  CheckViolation("malformed", "neither an answer");
}
