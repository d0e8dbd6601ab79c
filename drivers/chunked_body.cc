#include "drivers/chunked_body.h"

#include <boost/beast/http/basic_parser.hpp>

#include "drivers/framing_checks.h"

namespace cassiausher {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Bytes of a chunk's size and extensions, or of the trailers.
constexpr std::size_t kMaxHeldBytes = 32 << 10;
// Stands for the head, which was read before.
constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

class ChunkedBody::Parser : public http::basic_parser<false> {
 public:
  Parser() {
    eager(true);
    body_limit(boost::none);
    Error error;
    put({kHead.data(), kHead.size()}, error);
  }

  std::string* content = nullptr;
  /// What follows the size of the last chunk, in the bytes that were passed to
  /// put(); null before any chunk.
  const char* trailers = nullptr;

 private:
  using Error = beast::error_code;

  void on_request_impl(http::verb /*verb*/, beast::string_view /*method*/,
                       beast::string_view /*target*/, int /*version*/,
                       Error& /*error*/) override {}
  void on_response_impl(int /*status*/, beast::string_view /*reason*/,
                        int /*version*/, Error& /*error*/) override {}
  void on_field_impl(http::field /*name*/, beast::string_view /*text*/,
                     beast::string_view /*value*/, Error& /*error*/) override {}
  void on_header_impl(Error& /*error*/) override {}
  void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                         Error& /*error*/) override {}
  std::size_t on_body_impl(beast::string_view body, Error& /*error*/) override {
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            beast::string_view extensions,
                            Error& error) override {
    trailers = extensions.data();
    if (HasControls(View(extensions))) error = http::error::bad_chunk_extension;
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 beast::string_view body,
                                 Error& /*error*/) override {
    content->append(View(body));
    return body.size();
  }
  void on_finish_impl(Error& /*error*/) override {}
};

ChunkedBody::ChunkedBody() : parser_(std::make_unique<Parser>()) {}

ChunkedBody::~ChunkedBody() = default;

bool ChunkedBody::complete() const { return !failed_ && parser_->is_done(); }

bool ChunkedBody::Read(std::string_view bytes, std::string* content) {
  if (failed_) return false;
  // Bytes after the end belong to no answer.
  if (parser_->is_done()) return true;
  parser_->content = content;
  held_.append(bytes);
  beast::error_code error;
  const std::size_t taken = parser_->put({held_.data(), held_.size()}, error);
  if (error == http::error::need_more) error = {};
  const bool is_folded =
      parser_->is_done() &&
      HasFoldedLine({parser_->trailers, held_.data() + taken});
  held_.erase(0, taken);
  failed_ = error || is_folded ||
            (!parser_->is_done() && held_.size() > kMaxHeldBytes);
  return !failed_;
}

}  // namespace cassiausher
