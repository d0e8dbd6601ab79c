// The record of a load run: one JSON object per line, from a header to a
// footer. A file without a footer is truncated.
#ifndef TOOLS_LOAD_HISTORY_H_
#define TOOLS_LOAD_HISTORY_H_

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"

namespace cassiausher {

enum class Outcome {
  kAnswered,     // complete answer at the HTTP level
  kRefused,      // status other than 200 with an error object
  kFailed,       // error object inside a stream
  kCancelled,    // the caller closed the connection
  kCut,          // the stream ended regularly, but without its end mark
  kBroken,       // the connection broke after the request was sent
  kTimedOut,     // not complete within the caller's timeout
  kUnreachable,  // no connection; the request was not sent
  kMalformed,    // neither a valid answer nor a refusal
};

const char* OutcomeName(Outcome outcome);

/// The field not_run of an error: whether the request was not executed.
enum class NotRun { kUnspecified, kTrue, kFalse };

/// One request of a caller to one instance. Times are microseconds since the
/// start of the run.
struct Attempt {
  std::string id;
  /// Idempotency key; empty when the caller sent none.
  std::string key;
  std::string service;
  std::string instance;
  std::uint32_t text_hash = 0;
  bool plain = false;
  bool stream = false;
  bool idempotent = true;
  std::int64_t sent_us = 0;
  /// -1 when no token was received.
  std::int64_t first_us = -1;
  std::int64_t end_us = 0;
  int status = 0;
  Outcome outcome = Outcome::kBroken;
  NotRun not_run = NotRun::kUnspecified;
  /// See EncodeAnswer.
  std::string answer;
  std::string code;
};

/// A fault that scripts/faults.py caused.
struct FaultRecord {
  std::string fault;
  std::string target;
  std::int64_t unix_ms = 0;
  std::int64_t duration_ms = 0;
};

struct History {
  std::int64_t started_unix_ms = 0;
  std::vector<Attempt> attempts;
  std::vector<FaultRecord> faults;
  /// /fake/state of each endpoint after the last caller has disconnected.
  std::vector<nlohmann::json> states;
  /// Time between the end of the last caller and the reading of the states.
  std::int64_t states_after_ms = 0;
  bool complete = false;
};

/// Encodes a fake endpoint's text as runs of consecutive tokens:
/// "0123abcd:1-57." is the whole answer of 57 tokens. At text that is not a
/// token the list ends with "!" and an excerpt of it.
std::string EncodeAnswer(std::string_view text);

struct TokenRun {
  std::uint32_t hash = 0;
  std::int64_t first = 0;
  std::int64_t last = 0;
  /// The last token has the end mark.
  bool ended = false;
};
/// Returns false when the answer contains text that is not a token.
bool DecodeAnswer(std::string_view encoded, std::vector<TokenRun>* runs);

std::string FormatAttempt(const Attempt& attempt);

/// Writes a history. Add is thread-safe.
class HistoryWriter {
 public:
  ~HistoryWriter();
  /// An empty path writes nothing. Returns false when the file can't be
  /// created.
  bool Open(const std::string& path);
  void Add(const std::string& line);
  /// Returns false when any write failed.
  bool Close();

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  bool failed_ = false;
};

/// Reads `path`. Adds a finding for each line that is not a valid record and
/// for a missing header or footer.
History ReadHistory(const std::string& path, Findings* findings);

/// Appends the fault records of `path`, one JSON object per line.
void ReadFaults(const std::string& path, History* history, Findings* findings);

}  // namespace cassiausher

#endif  // TOOLS_LOAD_HISTORY_H_
