#include "drivers/request_framing.h"

#include <fmt/format.h>

#include <boost/beast/http/basic_parser.hpp>
#include <utility>

#include "drivers/framing_checks.h"

namespace cassiausher {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kUriTooLong = 414;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;
constexpr int kHttp11 = 11;
constexpr int kMaxEmptyLines = 4;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr const char* kLongLineText = "the request line is too long";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
// Read by the library in place of a request that is refused.
constexpr std::string_view kStandInRequest =
    "GET / HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n";

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

// Collects what Beast finds in one request, written as the library is to read
// it. Each callback may refuse the request: it sets `refusal` and any error.
class RequestFraming::Parser : public http::basic_parser<true> {
 public:
  explicit Parser(const RequestFramingOptions& options)
      : max_line_bytes_(options.max_request_line_bytes) {
    eager(true);
    body_limit(boost::none);
    header_limit(static_cast<std::uint32_t>(options.max_header_bytes +
                                            options.max_request_line_bytes));
  }

  RequestHead head;
  /// The head as the library reads it, until it is passed on.
  std::string head_text;
  /// Content since it was last passed on.
  std::string content;
  bool has_chunks = false;
  std::optional<ReadRefusal> refusal;
  /// What follows the size of the last chunk, in the bytes that were passed to
  /// put(); null before any chunk.
  const char* trailers = nullptr;

  /// Whether the bytes that put() has just taken, with a head or the end of one
  /// if `was_in_head`, have a folded line, which Beast unfolds.
  bool TookFoldedLine(std::string_view taken, bool was_in_head) const {
    if (was_in_head && HasFoldedLine(taken.substr(0, taken.find(kHeadEnd)))) {
      return true;
    }
    if (!is_done() || !has_chunks) return false;
    return HasFoldedLine(taken.substr(trailers - taken.data()));
  }

 private:
  using Error = beast::error_code;

  void Refuse(int status, std::string_view text, Error& error) {
    refusal = {.status = status, .text = std::string(text)};
    error = http::error::bad_value;
  }

  void on_request_impl(http::verb /*verb*/, beast::string_view method,
                       beast::string_view target, int version,
                       Error& error) override {
    version_ = version;
    if (static_cast<std::int64_t>(target.size()) > max_line_bytes_) {
      return Refuse(kUriTooLong, kLongLineText, error);
    }
    auto parsed = RequestTarget::Parse(View(method), View(target));
    if (!parsed) {
      return Refuse(kBadRequest, "the request target isn't valid", error);
    }
    head.target = std::move(*parsed);
    // The library would decode and normalise the target, or refuse it alone
    // and read its body as a request.
    head_text = fmt::format("{} / HTTP/1.{}\r\n", View(method),
                            version == kHttp11 ? 1 : 0);
  }

  void on_response_impl(int /*status*/, beast::string_view /*reason*/,
                        int /*version*/, Error& /*error*/) override {}

  void on_field_impl(http::field name, beast::string_view name_text,
                     beast::string_view value, Error& error) override {
    // Trailers are checked by Beast and dropped (RFC 9112, 7.1.2).
    if (is_head_complete_) return;
    switch (name) {
      case http::field::host:
        return AddHost(View(value), error);
      case http::field::content_length:
        return CheckLength(View(value), error);
      case http::field::transfer_encoding:
        return CheckCoding(View(value), error);
      default:
        AddField(View(name_text), View(value));
    }
  }

  void AddField(std::string_view name, std::string_view value) {
    head_text.append(name).append(": ").append(value).append(kLineEnd);
  }

  void AddHost(std::string_view value, Error& error) {
    if (has_host_) return Refuse(kBadRequest, "there are two hosts", error);
    if (!IsHostAndPort(value)) {
      return Refuse(kBadRequest, "the host isn't valid", error);
    }
    has_host_ = true;
    const std::string_view authority = head.target.authority();
    AddField("Host", authority.empty() ? value : authority);
  }

  // Beast has read the value; it accepts lists of equal lengths.
  void CheckLength(std::string_view value, Error& error) {
    if (has_length_ || !ParseContentLength(value)) {
      return Refuse(kBadRequest, "the content length isn't valid", error);
    }
    has_length_ = true;
  }

  // Beast takes a request whose last coding isn't `chunked` for one without a
  // body.
  void CheckCoding(std::string_view value, Error& error) {
    if (version_ != kHttp11) {
      return Refuse(kBadRequest, "HTTP/1.0 has no transfer codings", error);
    }
    if (has_chunks ||
        !beast::iequals("chunked", {value.data(), value.size()})) {
      return Refuse(kNotImplemented, "the transfer coding isn't supported",
                    error);
    }
    has_chunks = true;
  }

  void on_header_impl(Error& error) override {
    is_head_complete_ = true;
    if (!has_host_) {
      if (version_ == kHttp11) {
        return Refuse(kBadRequest, "the request has no host", error);
      }
      if (!head.target.authority().empty()) {
        AddField("Host", head.target.authority());
      }
    }
    if (has_chunks) AddField("Transfer-Encoding", "chunked");
    if (has_length_) {
      AddField("Content-Length", std::to_string(content_length().value_or(0)));
    }
    head_text.append(kLineEnd);
  }

  void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                         Error& /*error*/) override {}

  std::size_t on_body_impl(beast::string_view body, Error& /*error*/) override {
    content.append(View(body));
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            beast::string_view extensions,
                            Error& error) override {
    // The last one is parsed together with the trailers.
    trailers = extensions.data();
    if (!HasControls(View(extensions))) return;
    Refuse(kBadRequest, "a chunk extension isn't valid", error);
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 beast::string_view body,
                                 Error& /*error*/) override {
    content.append(View(body));
    return body.size();
  }

  void on_finish_impl(Error& /*error*/) override {}

  std::int64_t max_line_bytes_;
  int version_ = 0;
  bool has_host_ = false;
  bool has_length_ = false;
  bool is_head_complete_ = false;
};

namespace {

ReadRefusal RefusalFor(const beast::error_code& error) {
  if (error == http::error::header_limit) {
    return {kHeadersTooLarge, "the headers are too large"};
  }
  if (error == http::error::bad_version) {
    return {kVersionNotSupported, "the HTTP version isn't supported"};
  }
  return {kBadRequest, "the request isn't valid: " + error.message()};
}

}  // namespace

RequestFraming::RequestFraming(const RequestFramingOptions& options)
    : options_(options) {}

RequestFraming::~RequestFraming() = default;

RequestFraming::Progress RequestFraming::SkipEmptyLines(
    std::string_view bytes) {
  Progress progress;
  while (empty_lines_ < kMaxEmptyLines &&
         bytes.substr(progress.taken, kLineEnd.size()) == kLineEnd) {
    progress.taken += kLineEnd.size();
    ++empty_lines_;
  }
  const std::string_view rest = bytes.substr(progress.taken);
  progress.needs_more =
      rest.empty() || (empty_lines_ < kMaxEmptyLines && rest == "\r");
  return progress;
}

void RequestFraming::Start() {
  parser_ = std::make_unique<Parser>(options_);
  stage_ = Stage::kHead;
  empty_lines_ = 0;
}

RequestFraming::Progress RequestFraming::Read(std::string_view bytes,
                                              std::string* out) {
  Progress progress;
  if (stage_ == Stage::kEnded) return {.taken = bytes.size()};
  if (stage_ == Stage::kBetween) {
    progress = SkipEmptyLines(bytes);
    if (progress.needs_more) return progress;
    Start();
  }
  while (!parser_->is_done()) {
    const std::string_view rest = bytes.substr(progress.taken);
    if (rest.empty()) break;
    const bool was_in_head = !parser_->got_some() || !parser_->is_header_done();
    beast::error_code error;
    const std::size_t taken = parser_->put({rest.data(), rest.size()}, error);
    progress.taken += taken;
    if (parser_->TookFoldedLine(rest.substr(0, taken), was_in_head)) {
      Refuse({kBadRequest, "a header line is folded"}, out);
      return {.taken = bytes.size()};
    }
    if (error == http::error::need_more) break;
    if (!error) continue;
    Refuse(parser_->refusal.value_or(RefusalFor(error)), out);
    return {.taken = bytes.size()};
  }
  WriteParsed(out);
  if (parser_->is_done()) {
    if (parser_->has_chunks) out->append(kLastChunk);
    parser_.reset();
    stage_ = Stage::kBetween;
    return progress;
  }
  progress.needs_more = true;
  if (const auto excess = ExcessOf(bytes.substr(progress.taken))) {
    Refuse(*excess, out);
    return {.taken = bytes.size()};
  }
  return progress;
}

std::optional<ReadRefusal> RequestFraming::ExcessOf(
    std::string_view left) const {
  const auto size = static_cast<std::int64_t>(left.size());
  if (stage_ == Stage::kBody && size > options_.max_header_bytes) {
    return ReadRefusal{kBadRequest, "the request has too much framing"};
  }
  // Beast limits the head as a whole.
  const bool in_line = stage_ == Stage::kHead && parser_->head_text.empty() &&
                       left.find(kLineEnd) == std::string_view::npos;
  if (in_line && size > options_.max_request_line_bytes) {
    return ReadRefusal{kUriTooLong, kLongLineText};
  }
  return std::nullopt;
}

void RequestFraming::WriteParsed(std::string* out) {
  if (stage_ == Stage::kHead && parser_->is_header_done()) {
    stage_ = Stage::kBody;
    heads_.push_back(std::move(parser_->head));
    out->append(parser_->head_text);
    std::string().swap(parser_->head_text);
  }
  std::string& content = parser_->content;
  if (content.empty()) return;
  if (parser_->has_chunks) {
    out->append(fmt::format("{:x}\r\n", content.size()))
        .append(content)
        .append(kLineEnd);
  } else {
    out->append(content);
  }
  std::string().swap(content);
}

void RequestFraming::Refuse(ReadRefusal refusal, std::string* out) {
  if (stage_ == Stage::kEnded) return;
  if (stage_ == Stage::kBody) {
    if (parser_->has_chunks) out->append(kLastChunk);
    body_refusal_ = std::move(refusal);
  } else {
    heads_.push_back({.refusal = std::move(refusal)});
    out->append(kStandInRequest);
  }
  stage_ = Stage::kEnded;
  parser_.reset();
}

void RequestFraming::End(std::string* out) {
  stage_ = Stage::kEnded;
  parser_.reset();
  heads_.clear();
  heads_.push_back({.ends_connection = true});
  *out = kStandInRequest;
}

RequestHead RequestFraming::TakeHead() {
  RequestHead head = std::move(heads_.front());
  heads_.erase(heads_.begin());
  return head;
}

}  // namespace cassiausher
