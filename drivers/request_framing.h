// Decides where the requests of a connection begin and end, and what their
// heads say. Boost.Beast parses them by RFC 9112; what it lets through beyond
// that is checked here. Sound requests are written anew, so that the HTTP
// library, which is less strict, can't take them for anything else.
//
// No sockets and no clocks.
#ifndef DRIVERS_REQUEST_FRAMING_H_
#define DRIVERS_REQUEST_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "drivers/read_refusal.h"
#include "drivers/request_target.h"

namespace cassiausher {

struct RequestFramingOptions {
  /// Bytes of a head's fields, and of a trailer section.
  std::int64_t max_header_bytes = 32 << 10;
  /// Bytes of a request line.
  std::int64_t max_request_line_bytes = 16 << 10;
};

/// What the HTTP library isn't told of a request.
struct RequestHead {
  RequestTarget target;
  /// Set if the request is refused for what its head says, or while it is read.
  /// The library then reads a request without a body in its place.
  std::optional<ReadRefusal> refusal;
  /// There is no request: the connection ends here.
  bool ends_connection = false;
};

/// The requests of one connection, one after the other. After a refusal nothing
/// more is read.
class RequestFraming {
 public:
  explicit RequestFraming(const RequestFramingOptions& options);
  ~RequestFraming();
  RequestFraming(const RequestFraming&) = delete;
  RequestFraming& operator=(const RequestFraming&) = delete;

  struct Progress {
    /// Bytes that were used. The others have to be passed again.
    std::size_t taken = 0;
    /// Nothing follows from the rest without further bytes.
    bool needs_more = false;
  };
  /// Reads up to the end of a request, and appends what the library is to read.
  /// `bytes` begin with those that were left the last time.
  Progress Read(std::string_view bytes, std::string* out);

  /// Refuses the request that is being read, or the next one. What is appended
  /// ends it for the library if it has a head without a body, or chunks.
  void Refuse(ReadRefusal refusal, std::string* out);

  /// Ends the connection: nothing more is read, and `out` is replaced by what
  /// makes the library tell of a head that ends it.
  void End(std::string* out);

  /// No byte of a request has been taken since the end of the last one.
  bool between_requests() const { return stage_ == Stage::kBetween; }
  /// A request has begun, and its head isn't complete.
  bool in_head() const { return stage_ == Stage::kHead; }
  /// A head is complete, and its body isn't.
  bool in_body() const { return stage_ == Stage::kBody; }
  /// A request was refused.
  bool ended() const { return stage_ == Stage::kEnded; }

  /// Why a request was refused whose head had been passed on.
  const std::optional<ReadRefusal>& body_refusal() const {
    return body_refusal_;
  }

  bool has_head() const { return !heads_.empty(); }
  /// Of the next request that the library tells of. Call it once for each.
  RequestHead TakeHead();

 private:
  enum class Stage { kBetween, kHead, kBody, kEnded };
  class Parser;

  /// Drops the empty line that some clients send after a body (RFC 9112, 2.2).
  Progress SkipEmptyLines(std::string_view bytes);
  void Start();
  /// Passes the head on if it was completed, and the part of the body.
  void WriteParsed(std::string* out);
  /// Why the bytes that wait for more are too many; null if they aren't.
  std::optional<ReadRefusal> ExcessOf(std::string_view left) const;

  RequestFramingOptions options_;
  Stage stage_ = Stage::kBetween;
  /// Of the request that is being read; null between requests.
  std::unique_ptr<Parser> parser_;
  /// Of requests that the library hasn't told of, in their order.
  std::vector<RequestHead> heads_;
  std::optional<ReadRefusal> body_refusal_;
  int empty_lines_ = 0;
};

}  // namespace cassiausher

#endif  // DRIVERS_REQUEST_FRAMING_H_
