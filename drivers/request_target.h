// The target of a request (RFC 9112, 3.2), as its client sent it.
#ifndef DRIVERS_REQUEST_TARGET_H_
#define DRIVERS_REQUEST_TARGET_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cassiausher {

/// No part of it is decoded or normalised, so that an endpoint gets the bytes
/// that the client sent.
class RequestTarget {
 public:
  RequestTarget() = default;

  /// Null if `text` is no target that a server gets with this method. CONNECT
  /// has none, as nothing here is a proxy.
  static std::optional<RequestTarget> Parse(std::string_view method,
                                            std::string_view text);

  /// In origin form, or "*".
  std::string_view text() const { return text_; }
  std::string_view path() const {
    return std::string_view(text_).substr(0, query_at_);
  }
  /// Without the question mark; empty if there is none.
  std::string_view query() const;
  /// Host and port of a target in absolute form, which replace the Host field
  /// (RFC 9112, 3.2.2); empty for other forms.
  std::string_view authority() const { return authority_; }

 private:
  std::string text_ = "/";
  /// Of the question mark; npos if there is none.
  std::size_t query_at_ = std::string::npos;
  std::string authority_;
};

/// Whether `text` names a host, with or without a port (RFC 3986, 3.2).
bool IsHostAndPort(std::string_view text);

}  // namespace cassiausher

#endif  // DRIVERS_REQUEST_TARGET_H_
