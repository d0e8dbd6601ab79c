#include "tools/load/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <thread>

namespace cassiausher {
namespace {

using nlohmann::json;

constexpr const char* kOutcomeNames[] = {
    "answered", "refused",   "failed",      "cancelled", "cut",
    "broken",   "timed_out", "unreachable", "malformed"};
constexpr std::size_t kMaxExcerptBytes = 64;
constexpr int kHashBase = 16;

/// Parses "t<hash>-<n>" and the space or end mark after it from the start of
/// `text`. Returns the length, or 0 when there is no token.
std::size_t ReadToken(std::string_view text, TokenRun* token) {
  constexpr std::size_t kNumberOffset = 10;
  if (text.size() <= kNumberOffset || text[0] != 't' ||
      text[kNumberOffset - 1] != '-') {
    return 0;
  }
  const char* const begin = text.data();
  const char* const end = begin + text.size();
  const auto hash = std::from_chars(begin + 1, begin + kNumberOffset - 1,
                                    token->hash, kHashBase);
  const auto number = std::from_chars(begin + kNumberOffset, end, token->first);
  if (hash.ptr != begin + kNumberOffset - 1 || number.ec != std::errc() ||
      number.ptr == end || (*number.ptr != ' ' && *number.ptr != '.')) {
    return 0;
  }
  token->last = token->first;
  token->ended = *number.ptr == '.';
  return static_cast<std::size_t>(number.ptr - begin) + 1;
}

void AppendRun(const TokenRun& run, std::string* out) {
  fmt::format_to(std::back_inserter(*out), "{}{:08x}:{}-{}{}",
                 out->empty() ? "" : ",", run.hash, run.first, run.last,
                 run.ended ? "." : "");
}

bool ParseAttempt(const json& line, Attempt* attempt) {
  attempt->id = line.at("id").get<std::string>();
  attempt->key = line.at("key").get<std::string>();
  attempt->service = line.at("service").get<std::string>();
  attempt->instance = line.at("instance").get<std::string>();
  attempt->text_hash = line.at("hash").get<std::uint32_t>();
  attempt->plain = line.at("plain").get<bool>();
  attempt->stream = line.at("stream").get<bool>();
  attempt->idempotent = line.at("idempotent").get<bool>();
  attempt->sent_us = line.at("sent_us").get<std::int64_t>();
  attempt->first_us = line.at("first_us").get<std::int64_t>();
  attempt->end_us = line.at("end_us").get<std::int64_t>();
  attempt->status = line.at("status").get<int>();
  attempt->answer = line.at("answer").get<std::string>();
  attempt->code = line.at("code").get<std::string>();
  const json& not_run = line.at("not_run");
  attempt->not_run = not_run.is_null()     ? NotRun::kUnspecified
                     : not_run.get<bool>() ? NotRun::kTrue
                                           : NotRun::kFalse;
  const auto& outcome = line.at("outcome").get_ref<const std::string&>();
  const auto* const found =
      std::find(std::begin(kOutcomeNames), std::end(kOutcomeNames), outcome);
  if (found == std::end(kOutcomeNames)) return false;
  attempt->outcome =
      static_cast<Outcome>(std::distance(std::begin(kOutcomeNames), found));
  return true;
}

FaultRecord ParseFault(const json& line) {
  return {.fault = line.at("fault").get<std::string>(),
          .target = line.at("target").get<std::string>(),
          .unix_ms = line.at("unix_ms").get<std::int64_t>(),
          .duration_ms = line.value("duration_ms", std::int64_t{0})};
}

/// The part of the file that one thread reads, and its result.
struct Part {
  std::string_view text;
  std::size_t first_line = 0;
  History history;
  Findings findings;
  bool has_header = false;
};

void ReadLine(std::string_view text, std::size_t line_number,
              const std::string& path, Part* part) {
  const std::string place = fmt::format("{}:{}", path, line_number);
  if (part->history.complete) {
    part->findings.Add(place, "a line follows the footer");
    return;
  }
  try {
    const json line = json::parse(text);
    const auto& type = line.at("type").get_ref<const std::string&>();
    if (type == "attempt") {
      Attempt& attempt = part->history.attempts.emplace_back();
      if (!ParseAttempt(line, &attempt)) {
        part->findings.Add(place, "unknown outcome");
      }
    } else if (type == "header") {
      part->has_header = true;
      part->history.started_unix_ms =
          line.at("started_unix_ms").get<std::int64_t>();
    } else if (type == "state") {
      part->history.states.push_back(line.at("state"));
      part->history.states_after_ms = line.at("after_ms").get<std::int64_t>();
    } else if (type == "fault") {
      part->history.faults.push_back(ParseFault(line));
    } else if (type == "footer") {
      part->history.complete = true;
    } else {
      part->findings.Add(place, "unknown type '" + type + "'");
    }
  } catch (const json::exception& error) {
    part->findings.Add(place, error.what());
  }
}

void ReadPart(const std::string& path, Part* part) {
  std::size_t number = part->first_line;
  std::string_view rest = part->text;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size() - 1);
    std::string_view line = rest.substr(0, end + 1);
    rest.remove_prefix(end + 1);
    if (line.back() == '\n') line.remove_suffix(1);
    if (!line.empty()) ReadLine(line, number, path, part);
    ++number;
  }
}

std::vector<Part> SplitParts(std::string_view text, std::size_t count) {
  std::vector<Part> parts;
  std::size_t line = 1;
  const std::size_t size = text.size() / count + 1;
  while (!text.empty()) {
    const std::size_t end = text.find('\n', std::min(size, text.size()) - 1);
    const std::size_t length =
        end == std::string_view::npos ? text.size() : end + 1;
    Part& part = parts.emplace_back();
    part.text = text.substr(0, length);
    part.first_line = line;
    line += static_cast<std::size_t>(
        std::count(part.text.begin(), part.text.end(), '\n'));
    text.remove_prefix(length);
  }
  return parts;
}

template <typename T>
void MoveAppend(std::vector<T>& from, std::vector<T>* to) {
  to->insert(to->end(), std::make_move_iterator(from.begin()),
             std::make_move_iterator(from.end()));
}

}  // namespace

const char* OutcomeName(Outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::string EncodeAnswer(std::string_view text) {
  std::string out;
  TokenRun run;
  bool open = false;
  while (!text.empty()) {
    TokenRun token;
    const std::size_t length = ReadToken(text, &token);
    if (length == 0) break;
    text.remove_prefix(length);
    if (open && !run.ended && token.hash == run.hash &&
        token.first == run.last + 1) {
      run.last = token.last;
      run.ended = token.ended;
      continue;
    }
    if (open) AppendRun(run, &out);
    run = token;
    open = true;
  }
  if (open) AppendRun(run, &out);
  if (!text.empty()) {
    out += '!';
    out += text.substr(0, kMaxExcerptBytes);
  }
  return out;
}

bool DecodeAnswer(std::string_view encoded, std::vector<TokenRun>* runs) {
  const char* at = encoded.data();
  const char* const end = at + encoded.size();
  while (at != end) {
    TokenRun run;
    const auto hash = std::from_chars(at, end, run.hash, kHashBase);
    if (hash.ptr == end || *hash.ptr != ':') return false;
    const auto first = std::from_chars(hash.ptr + 1, end, run.first);
    if (first.ptr == end || *first.ptr != '-') return false;
    const auto last = std::from_chars(first.ptr + 1, end, run.last);
    if (last.ec != std::errc()) return false;
    at = last.ptr;
    if (at != end && *at == '.') {
      run.ended = true;
      ++at;
    }
    runs->push_back(run);
    if (at == end) return true;
    if (*at != ',') return false;
    ++at;
  }
  return true;
}

std::string FormatAttempt(const Attempt& attempt) {
  const char* not_run = attempt.not_run == NotRun::kUnspecified ? "null"
                        : attempt.not_run == NotRun::kTrue      ? "true"
                                                                : "false";
  const auto quoted = [](const std::string& text) {
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
  };
  return fmt::format(
      R"({{"type":"attempt","id":"{}","key":"{}","service":{},"instance":{},)"
      R"("hash":{},"plain":{},"stream":{},"idempotent":{},"sent_us":{},)"
      R"("first_us":{},"end_us":{},"status":{},"outcome":"{}","not_run":{},)"
      R"("answer":{},"code":{}}})",
      attempt.id, attempt.key, quoted(attempt.service),
      quoted(attempt.instance), attempt.text_hash, attempt.plain,
      attempt.stream, attempt.idempotent, attempt.sent_us, attempt.first_us,
      attempt.end_us, attempt.status, OutcomeName(attempt.outcome), not_run,
      quoted(attempt.answer), quoted(attempt.code));
}

HistoryWriter::~HistoryWriter() { Close(); }

bool HistoryWriter::Open(const std::string& path) {
  if (path.empty()) return true;
  file_ = std::fopen(path.c_str(), "w");
  return file_ != nullptr;
}

void HistoryWriter::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (file_ == nullptr) return;
  if (std::fwrite(line.data(), 1, line.size(), file_) != line.size() ||
      std::fputc('\n', file_) == EOF) {
    failed_ = true;
  }
}

bool HistoryWriter::Close() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (file_ != nullptr && std::fclose(file_) != 0) failed_ = true;
  file_ = nullptr;
  return !failed_;
}

History ReadHistory(const std::string& path, Findings* findings) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    findings->Add(path, "can't be read");
    return {};
  }
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  constexpr std::size_t kReaderThreads = 4;
  std::vector<Part> parts = SplitParts(text, kReaderThreads);
  std::vector<std::thread> readers;
  for (Part& part : parts) {
    readers.emplace_back([&path, &part] { ReadPart(path, &part); });
  }
  for (std::thread& reader : readers) reader.join();

  History history;
  bool has_header = false;
  for (Part& part : parts) {
    findings->Append(part.findings);
    if (history.complete) findings->Add(path, "lines follow the footer");
    has_header = has_header || part.has_header;
    history.complete = history.complete || part.history.complete;
    history.started_unix_ms =
        std::max(history.started_unix_ms, part.history.started_unix_ms);
    history.states_after_ms =
        std::max(history.states_after_ms, part.history.states_after_ms);
    MoveAppend(part.history.attempts, &history.attempts);
    MoveAppend(part.history.faults, &history.faults);
    MoveAppend(part.history.states, &history.states);
  }
  if (!has_header) findings->Add(path, "has no header");
  if (!history.complete) {
    findings->Add(path, "was cut short: it has no footer");
  }
  return history;
}

void ReadFaults(const std::string& path, History* history, Findings* findings) {
  std::ifstream file(path);
  if (!file) return findings->Add(path, "can't be read");
  std::string line;
  for (std::size_t number = 1; std::getline(file, line); ++number) {
    try {
      history->faults.push_back(ParseFault(json::parse(line)));
    } catch (const json::exception& error) {
      findings->Add(fmt::format("{}:{}", path, number), error.what());
    }
  }
}

}  // namespace cassiausher
