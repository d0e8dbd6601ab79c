// Reads the head of an answer to an HTTP/1.x call, line by line, and decides
// whether the answer has begun. Nothing of a body may be read before.
//
// libcurl isn't enough for that: it takes an unrequested 101 for a final answer
// and a connection that ends inside the head for the end of an empty body.
#ifndef DRIVERS_ANSWER_HEAD_H_
#define DRIVERS_ANSWER_HEAD_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cassiausher {

struct SoupHeadersUnref {
  void operator()(SoupMessageHeaders* headers) const {
    soup_message_headers_unref(headers);
  }
};
using SoupHeadersPtr = std::unique_ptr<SoupMessageHeaders, SoupHeadersUnref>;

/// The heads of one answer: any number of informational ones (RFC 9110, 15.2),
/// then the final one. Its size is the caller's to limit.
class AnswerHead {
 public:
  AnswerHead();

  /// Adds the next line, with its end of line. Returns false if the bytes are
  /// no head of an answer to a call that asked for no other protocol; fault()
  /// tells why. Lines after the end of the final head are trailers, which are
  /// dropped.
  bool Add(std::string_view line);

  /// Whether the final head is complete.
  bool complete() const { return stage_ == Stage::kComplete; }
  /// 0 until complete().
  int status() const { return complete() ? status_ : 0; }
  /// Of the final head once complete().
  const SoupHeadersPtr& headers() const { return headers_; }
  /// Whether the body that follows has chunks.
  bool has_chunks() const { return has_chunks_; }
  /// Informational heads so far.
  int informational() const { return informational_; }
  /// What is wrong with the bytes; empty if nothing is.
  std::string_view fault() const { return fault_; }

 private:
  enum class Stage { kStatusLine, kHeaders, kComplete };

  bool AddStatusLine(std::string_view line);
  bool AddHeader(std::string_view line);
  bool EndHead();
  /// Checks that the head tells where the body ends (RFC 9112, 6.1 to 6.3).
  bool CheckFraming();
  bool Fail(std::string_view fault);

  Stage stage_ = Stage::kStatusLine;
  /// Of the head that is being read.
  int status_ = 0;
  SoupHeadersPtr headers_;
  int informational_ = 0;
  /// Of the HTTP version of the head that is being read.
  char minor_version_ = '1';
  bool has_chunks_ = false;
  std::string_view fault_;
};

}  // namespace cassiausher

#endif  // DRIVERS_ANSWER_HEAD_H_
