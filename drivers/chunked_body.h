// The chunked body of an endpoint's answer. libcurl would take the end of a
// chunk's size for that of its line, whatever stands there, and bare line
// feeds for line ends; Boost.Beast reads it by RFC 9112, 7.1.
#ifndef DRIVERS_CHUNKED_BODY_H_
#define DRIVERS_CHUNKED_BODY_H_

#include <memory>
#include <string>
#include <string_view>

namespace cassiausher {

/// Trailers are checked and dropped.
class ChunkedBody {
 public:
  ChunkedBody();
  ~ChunkedBody();
  ChunkedBody(const ChunkedBody&) = delete;
  ChunkedBody& operator=(const ChunkedBody&) = delete;

  /// Reads on and appends the content. Returns false, and from then on, if the
  /// bytes aren't sound. Bytes after the end are ignored.
  bool Read(std::string_view bytes, std::string* content);
  /// Whether the last chunk and its trailers were read.
  bool complete() const;

 private:
  class Parser;

  std::unique_ptr<Parser> parser_;
  /// Was read, and can't be used without further bytes.
  std::string held_;
  bool failed_ = false;
};

}  // namespace cassiausher

#endif  // DRIVERS_CHUNKED_BODY_H_
