#include "drivers/answer_head.h"

#include <algorithm>

#include "drivers/framing_checks.h"

namespace cassiausher {
namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr std::string_view kHttp1 = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// RFC 9110, 5.6.2.
bool IsTokenCharacter(char c) {
  return g_ascii_isalnum(c) ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

std::string_view Trimmed(std::string_view text) {
  const char* blanks = " \t\r\n";
  const std::size_t first = text.find_first_not_of(blanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

SoupHeadersPtr NewHeaders() {
  return SoupHeadersPtr(
      soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE));
}

bool Has(const SoupHeadersPtr& headers, const char* name) {
  return soup_message_headers_get_one(headers.get(), name) != nullptr;
}

// Whether the values of a list of lengths are valid and the same, which a
// recipient may take for one (RFC 9110, 8.6).
bool IsOneLength(std::string_view list) {
  const auto first =
      ParseContentLength(Trimmed(list.substr(0, list.find(','))));
  for (;;) {
    const std::size_t comma = list.find(',');
    const auto length = ParseContentLength(Trimmed(list.substr(0, comma)));
    if (!length || length != first) return false;
    if (comma == std::string_view::npos) return true;
    list.remove_prefix(comma + 1);
  }
}

}  // namespace

AnswerHead::AnswerHead() : headers_(NewHeaders()) {}

bool AnswerHead::Add(std::string_view line) {
  if (!fault_.empty()) return false;
  switch (stage_) {
    case Stage::kStatusLine:
      return AddStatusLine(line);
    case Stage::kHeaders:
      return Trimmed(line).empty() ? EndHead() : AddHeader(line);
    case Stage::kComplete:
      return true;
  }
  return true;
}

bool AnswerHead::AddStatusLine(std::string_view line) {
  constexpr std::size_t kStatusAt = kHttp1.size() + 2;
  const bool is_status_line = line.substr(0, kHttp1.size()) == kHttp1 &&
                              line.size() > kStatusAt + kStatusDigits &&
                              IsDigit(line[kHttp1.size()]) &&
                              line[kStatusAt - 1] == ' ';
  if (!is_status_line) return Fail("the answer has no status line");
  minor_version_ = line[kHttp1.size()];
  const std::string_view digits = line.substr(kStatusAt, kStatusDigits);
  const char next = line[kStatusAt + kStatusDigits];
  const bool has_status = std::all_of(digits.begin(), digits.end(), IsDigit) &&
                          (next == ' ' || next == '\r' || next == '\n');
  if (!has_status) return Fail("the answer has no status");
  status_ = 0;
  for (const char digit : digits) status_ = status_ * 10 + (digit - '0');
  if (status_ < kFirstStatus || status_ > kLastStatus) {
    return Fail("the status is out of range");
  }
  if (status_ == kSwitchingProtocols) {
    return Fail("an answer switches protocols unasked");
  }
  stage_ = Stage::kHeaders;
  return true;
}

bool AnswerHead::AddHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return Fail("a header line has no colon");
  }
  // A folded line would begin with blanks.
  const std::string_view name =
      line.substr(0, line.find_last_not_of(" \t", colon - 1) + 1);
  const bool is_name = colon > 0 && !name.empty() &&
                       std::all_of(name.begin(), name.end(), IsTokenCharacter);
  if (!is_name) return Fail("a header line has no name");
  soup_message_headers_append(
      headers_.get(), std::string(name).c_str(),
      std::string(Trimmed(line.substr(colon + 1))).c_str());
  return true;
}

bool AnswerHead::EndHead() {
  if (status_ >= kFirstFinalStatus) {
    if (!CheckFraming()) return false;
    stage_ = Stage::kComplete;
    return true;
  }
  // It has no body (RFC 9110, 15.2).
  const bool has_body =
      Has(headers_, "Content-Length") || Has(headers_, "Transfer-Encoding");
  if (has_body) return Fail("an informational answer has a body");
  ++informational_;
  headers_ = NewHeaders();
  stage_ = Stage::kStatusLine;
  return true;
}

bool AnswerHead::CheckFraming() {
  const char* lengths =
      soup_message_headers_get_list(headers_.get(), "Content-Length");
  const char* codings =
      soup_message_headers_get_list(headers_.get(), "Transfer-Encoding");
  if (lengths != nullptr && codings != nullptr) {
    return Fail("the answer has more than one length");
  }
  if (lengths != nullptr && !IsOneLength(lengths)) {
    return Fail("the answer has no sound length");
  }
  if (codings == nullptr) return true;
  // No call asks for another coding.
  if (g_ascii_strcasecmp(codings, "chunked") != 0 || minor_version_ == '0') {
    return Fail("the answer has an unknown transfer coding");
  }
  has_chunks_ = true;
  return true;
}

bool AnswerHead::Fail(std::string_view fault) {
  fault_ = fault;
  return false;
}

}  // namespace cassiausher
