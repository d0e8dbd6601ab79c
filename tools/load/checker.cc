#include "tools/load/checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace cassiausher {
namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosPerMilli = 1000;
/// Section 5 of the design: memory is released within this time after a caller
/// has disconnected.
constexpr std::int64_t kMaxReleaseMs = 5000;
/// Maximum time between a fault and its effect at a caller.
constexpr std::int64_t kFaultToleranceMs = 3000;

class Checker {
 public:
  explicit Checker(const History& history) : history_(history) {}

  std::vector<Violation> Run() {
    for (const Attempt& attempt : history_.attempts) {
      attempts_by_hash_.emplace(attempt.text_hash, &attempt);
    }
    for (const Attempt& attempt : history_.attempts) CheckAttempt(attempt);
    CheckExecutions();
    for (const json& state : history_.states) CheckState(state);
    return std::move(violations_);
  }

 private:
  /// All attempts with the same idempotency key or, without a key, the same
  /// request id.
  struct Group {
    const Attempt* first = nullptr;
    bool idempotent = true;
    bool all_not_run = true;
    bool answered = false;
    std::int64_t executions = 0;
  };

  void AddViolation(const char* invariant, const Attempt& attempt,
                    std::string reason) {
    violations_.push_back(
        {invariant, fmt::format("{}: {}", reason, FormatAttempt(attempt))});
  }

  void CheckAttempt(const Attempt& attempt) {
    switch (attempt.outcome) {
      case Outcome::kUnreachable:
      case Outcome::kRefused:
        return;
      case Outcome::kMalformed:
        return AddViolation("malformed", attempt,
                            "neither an answer nor a refusal");
      case Outcome::kCut:
        // libsoup reports a connection that broke between two chunks as a
        // regular end of the body, so a kill can appear as a cut answer.
        if (ExplainedByFault(attempt)) break;
        return AddViolation("cut", attempt,
                            "the answer ended without its end mark");
      case Outcome::kTimedOut:
        if (!ExplainedByFault(attempt))
          AddViolation("lost", attempt, "no answer came");
        break;
      case Outcome::kBroken:
        if (ExplainedByFault(attempt)) break;
        AddViolation(attempt.answer.empty() ? "lost" : "cut", attempt,
                     "the connection broke");
        break;
      case Outcome::kAnswered:
      case Outcome::kFailed:
      case Outcome::kCancelled:
        break;
    }
    if (attempt.plain) {
      CheckPlainAnswer(attempt);
    } else {
      CheckText(attempt);
    }
  }

  void CheckPlainAnswer(const Attempt& attempt) {
    if (attempt.outcome != Outcome::kAnswered) return;
    if (attempt.answer == fmt::format("{:08x}", attempt.text_hash)) return;
    AddViolation("other_request", attempt,
                 "the answer belongs to another call");
  }

  void CheckText(const Attempt& attempt) {
    const bool whole = attempt.outcome == Outcome::kAnswered;
    std::vector<TokenRun> runs;
    if (!DecodeAnswer(attempt.answer, &runs)) {
      return AddViolation("malformed", attempt,
                          "the answer contains foreign text");
    }
    const auto is_foreign = [&](const TokenRun& run) {
      return run.hash != attempt.text_hash;
    };
    const auto other = std::find_if(runs.begin(), runs.end(), is_foreign);
    if (other != runs.end()) {
      const bool all = std::all_of(runs.begin(), runs.end(), is_foreign);
      const auto owner = attempts_by_hash_.find(other->hash);
      return AddViolation(
          all ? "other_request" : "mixed", attempt,
          fmt::format("text of {}", owner == attempts_by_hash_.end()
                                        ? "an unknown prompt"
                                        : owner->second->id));
    }
    std::int64_t expected = 1;
    bool ended = false;
    for (const TokenRun& run : runs) {
      if (run.first < expected || ended) {
        return AddViolation(
            "doubled", attempt,
            fmt::format("token {} came twice or out of order", run.first));
      }
      if (run.first > expected) {
        return AddViolation("lost", attempt,
                            fmt::format("tokens {} to {} are missing", expected,
                                        run.first - 1));
      }
      expected = run.last + 1;
      ended = run.ended;
    }
    if (whole && !ended) {
      AddViolation("cut", attempt,
                   fmt::format("the text ends after token {}", expected - 1));
    }
  }

  bool ExplainedByFault(const Attempt& attempt) const {
    const std::int64_t sent =
        history_.started_unix_ms + attempt.sent_us / kMicrosPerMilli;
    const std::int64_t end =
        history_.started_unix_ms + attempt.end_us / kMicrosPerMilli;
    return std::any_of(
        history_.faults.begin(), history_.faults.end(),
        [&](const FaultRecord& fault) {
          return fault.target == attempt.instance &&
                 (fault.fault == "kill" || fault.fault == "stop") &&
                 fault.unix_ms <= end + kFaultToleranceMs &&
                 fault.unix_ms + fault.duration_ms >= sent - kFaultToleranceMs;
        });
  }

  /// False when an endpoint's execution counts are missing or were reset.
  bool ExecutionCountsAreComplete() const {
    std::unordered_set<std::string> names;
    for (const json& state : history_.states) {
      if (!state.contains("executions")) return false;
      names.insert(state.value("name", ""));
    }
    const bool ended = std::any_of(
        history_.faults.begin(), history_.faults.end(),
        [&](const FaultRecord& fault) {
          return names.contains(fault.target) &&
                 (fault.fault == "kill" || fault.fault == "term" ||
                  fault.fault.find("die_after_tokens") != std::string::npos);
        });
    return !names.empty() && !ended;
  }

  void CheckExecutions() {
    std::unordered_map<std::string_view, Group> groups;
    groups.reserve(history_.attempts.size());
    for (const Attempt& attempt : history_.attempts) {
      // An unreachable instance never received the request.
      const bool not_run = attempt.not_run == NotRun::kTrue ||
                           attempt.outcome == Outcome::kUnreachable;
      Group& group = groups[attempt.key.empty() ? attempt.id : attempt.key];
      if (group.first == nullptr) group.first = &attempt;
      group.idempotent = group.idempotent && attempt.idempotent;
      group.all_not_run = group.all_not_run && not_run;
      group.answered = group.answered || attempt.outcome == Outcome::kAnswered;
    }
    for (const json& state : history_.states) {
      const auto executions = state.find("executions");
      if (executions == state.end() || !executions->is_object()) continue;
      for (const auto& [name, count] : executions->items()) {
        // An entry instance appends "~" and its own suffix to a request id.
        const std::string_view key =
            std::string_view(name).substr(0, name.find('~'));
        const auto found = groups.find(key);
        if (found == groups.end()) continue;
        found->second.executions += count.get<std::int64_t>();
      }
    }
    const bool counts_complete = ExecutionCountsAreComplete();
    for (const auto& [key, group] : groups) {
      if (counts_complete && group.answered && group.executions == 0) {
        AddViolation("unknown_execution", *group.first,
                     "answered, but no endpoint executed it");
      }
      if (group.executions > 0 && group.all_not_run) {
        AddViolation(
            "not_run_but_executed", *group.first,
            fmt::format("refused with not_run:true, but executed {} times",
                        group.executions));
      }
      if (group.executions > 1 && !group.idempotent) {
        AddViolation("executed_twice", *group.first,
                     fmt::format("non-idempotent, but executed {} times",
                                 group.executions));
      }
    }
  }

  void CheckState(const json& state) {
    const std::string name = state.value("name", "an endpoint");
    const std::int64_t sessions = state.value("held_sessions", 0);
    const std::int64_t bytes = state.value("held_kv_bytes", std::int64_t{0});
    if (history_.states_after_ms >= kMaxReleaseMs &&
        (sessions > 0 || bytes > 0)) {
      violations_.push_back(
          {"held_memory",
           fmt::format("{} holds {} sessions and {} bytes of KV cache {} ms "
                       "after the last caller left",
                       name, sessions, bytes, history_.states_after_ms)});
    }
    const std::int64_t late = state.value("new_work_2s_after_departing", 0);
    if (late > 0) {
      violations_.push_back(
          {"work_after_departure",
           fmt::format("{} got {} calls later than 2 s after it announced "
                       "its departure",
                       name, late)});
    }
  }

  const History& history_;
  std::unordered_map<std::uint32_t, const Attempt*> attempts_by_hash_;
  std::vector<Violation> violations_;
};

}  // namespace

std::vector<Violation> CheckHistory(const History& history) {
  return Checker(history).Run();
}

}  // namespace cassiausher
