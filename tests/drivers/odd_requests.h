// Seeded requests, sound and unsound, as bytes of a connection. What each of
// them is follows from how it was made, not from a parser.
#ifndef TESTS_DRIVERS_ODD_REQUESTS_H_
#define TESTS_DRIVERS_ODD_REQUESTS_H_

#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cassiausher {

/// A request and its bytes.
struct MadeRequest {
  std::string target;
  std::string body;
  std::string bytes;
};

/// A request that must not be run, nor anything after it on its connection.
/// Each holds a hidden request, which a lenient reader finds.
struct UnsoundRequest {
  const char* what;
  std::string bytes;
};

/// The target of each hidden request.
constexpr std::string_view kHiddenTarget = "/hidden";

inline std::string HiddenRequest() {
  return "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
}

/// RFC 9112: 2.2 line ends, 3.2 targets, 5.1 and 5.2 fields, 6.1 codings, 6.3
/// lengths, 7.1 chunks and trailers.
inline std::vector<UnsoundRequest> UnsoundRequests() {
  const std::string hidden = HiddenRequest();
  const std::string size = std::to_string(hidden.size());
  const std::string line = "POST /x HTTP/1.1\r\nHost: a\r\n";
  const std::string coded = line + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = coded + "3\r\nabc\r\n";
  std::vector<UnsoundRequest> all;
  // The fields give no sound length of the body, which is the hidden request.
  const auto fields = [&](const char* what, const std::string& text) {
    all.push_back({what, line + text + "\r\n\r\n" + hidden});
  };
  fields("length with a sign", "Content-Length: +0");
  fields("negative length", "Content-Length: -1");
  fields("hexadecimal length", "Content-Length: 0x0");
  fields("length over 64 bits", "Content-Length: 18446744073709551616");
  fields("length with a letter", "Content-Length: 0a");
  fields("empty length", "Content-Length:");
  fields("list of lengths", "Content-Length: 0, " + size);
  fields("list of equal lengths", "Content-Length: 0, 0");
  fields("two lengths", "Content-Length: 0\r\nContent-Length: " + size);
  fields("two equal lengths", "Content-Length: 0\r\nContent-Length: 0");
  fields("length and coding",
         "Content-Length: 0\r\nTransfer-Encoding: chunked");
  fields("coding and length",
         "Transfer-Encoding: chunked\r\nContent-Length: 0");
  fields("blank before the colon", "Content-Length : " + size);
  fields("tab before the colon", "Transfer-Encoding\t: chunked");
  fields("folded length", "X: a\r\n Content-Length: " + size);
  fields("fold with a tab", "X: a\r\n\tb");
  fields("unknown coding", "Transfer-Encoding: xchunked");
  fields("coding before chunked", "Transfer-Encoding: gzip, chunked");
  fields("coding after chunked", "Transfer-Encoding: chunked, gzip");
  fields("identity", "Transfer-Encoding: identity");
  fields("quoted coding", "Transfer-Encoding: \"chunked\"");
  fields("coding with a parameter", "Transfer-Encoding: chunked;q=1");
  fields("vertical tab before the coding",
         "Transfer-Encoding: \x0b"
         "chunked");
  fields("chunked twice", "Transfer-Encoding: chunked, chunked");
  fields("two codings",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked");
  fields("field without a colon", "Content-Length 0");
  fields("field without a name", ": 0");
  fields("control in a value",
         "X: a\x01"
         "b");
  fields("bare CR in a value", "X: a\rContent-Length: " + size);
  fields("bare LF between fields", "X: a\nContent-Length: " + size);
  fields("two hosts", "Host: b");
  all.push_back({"coding in HTTP/1.0",
                 "POST /x HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n0\r\n\r\n" +
                     hidden});
  // The head has no sound request line or host.
  const auto head = [&](const char* what, const std::string& text) {
    all.push_back({what, text + "\r\n\r\n" + hidden});
  };
  head("no host", "POST /x HTTP/1.1\r\nContent-Length: " + size);
  head("host with a path", "POST /x HTTP/1.1\r\nHost: a/b");
  head("host with a bad port", "POST /x HTTP/1.1\r\nHost: a:b");
  head("space in the target", "POST /x y HTTP/1.1\r\nHost: a");
  head("target that isn't closed", "POST /[ HTTP/1.1\r\nHost: a");
  head("target with a bad escape", "POST /%zz HTTP/1.1\r\nHost: a");
  head("target with a fragment", "POST /x#y HTTP/1.1\r\nHost: a");
  head("target without a path", "POST x HTTP/1.1\r\nHost: a");
  head("asterisk with POST", "POST * HTTP/1.1\r\nHost: a");
  head("target with a bad authority", "POST http://a:b/x HTTP/1.1\r\nHost: a");
  head("target of another scheme", "POST ftp://a/x HTTP/1.1\r\nHost: a");
  head("CONNECT", "CONNECT a:80 HTTP/1.1\r\nHost: a:80");
  head("HTTP/2.0", "POST /x HTTP/2.0\r\nHost: a");
  head("HTTP/1.2", "POST /x HTTP/1.2\r\nHost: a");
  head("no version", "POST /x");
  head("two blanks", "POST  /x HTTP/1.1\r\nHost: a");
  head("blank at the end", "POST /x HTTP/1.1 \r\nHost: a");
  head("bare LF after the request line", "POST /x HTTP/1.1\nHost: a");
  head("blank before the first field", "POST /x HTTP/1.1\r\n Host: a");
  head("method that is no token", "PO(ST /x HTTP/1.1\r\nHost: a");
  // The head is sound, and the chunks aren't.
  const auto chunks = [&](const char* what, const std::string& text) {
    all.push_back({what, coded + text + hidden});
  };
  chunks("size with a sign", "+0\r\n\r\n");
  chunks("negative size", "-1\r\n\r\n");
  chunks("size with a prefix", "0x0\r\n\r\n");
  chunks("size that is no number", "g\r\n\r\n");
  chunks("no size", "\r\n\r\n");
  chunks("size over 64 bits", "10000000000000000\r\n\r\n");
  chunks("blank before the size", " 0\r\n\r\n");
  chunks("blank after the size", "0 \r\n\r\n");
  chunks("bare LF after the size", "0\n\r\n\r\n");
  chunks("bare CR after the size", "0\r\r\n\r\n");
  chunks("extension without a name", "0;\r\n\r\n");
  chunks("LF in an extension", "3;a=\"b\nc\"\r\nabc\r\n0\r\n\r\n");
  chunks("chunk longer than its size", "3\r\nabcd\r\n0\r\n\r\n");
  chunks("bare LF after a chunk", "3\r\nabc\n0\r\n\r\n");
  const auto trailers = [&](const char* what, const std::string& text) {
    all.push_back({what, chunk + "0\r\n" + text + "\r\n\r\n" + hidden});
  };
  // review/9.
  all.push_back(
      {"request in the trailers", chunk + "0\r\nDigest: none\r\n" + hidden});
  trailers("request line in the trailers", "X: a\r\nPOST /y HTTP/1.1");
  trailers("trailer with a blank before its colon", "X : a");
  trailers("folded trailer", "X: a\r\n b");
  trailers("length in the trailers", "Content-Length: " + size);
  trailers("coding in the trailers", "Transfer-Encoding: chunked");
  trailers("bare LF in the trailers", "X: a\nY: b");
  trailers("trailer without a colon", "X");
  return all;
}

/// Makes requests of one seed.
class RequestMaker {
 public:
  explicit RequestMaker(std::uint64_t seed) : random_(seed) {}

  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }

  /// With a length, chunks or no body; chunks may have extensions and trailers.
  MadeRequest Sound() {
    static const std::vector<std::string> targets = {
        "/x", "/a%2fb/%7Ec", "/a/./b/../c", "//x", "/?", "/x?q=%2f&r=a/b?c"};
    MadeRequest made;
    made.target = targets[Below(targets.size())];
    std::string& bytes = made.bytes;
    if (Below(8) == 0) bytes = "\r\n";
    bytes += "POST " + made.target + " HTTP/1.1\r\nHost: a\r\n" + Fields();
    switch (Below(3)) {
      case 0:
        bytes += "\r\n";
        return made;
      case 1:
        made.body = Body(200);
        bytes += "Content-Length: " + Zeros() +
                 std::to_string(made.body.size()) + "\r\n\r\n" + made.body;
        return made;
      default:
        bytes +=
            "Transfer-Encoding: " + Either("chunked", "Chunked") + "\r\n\r\n";
        AddChunks(&made);
        return made;
    }
  }

  /// A chunked body alone.
  MadeRequest Chunks() {
    MadeRequest made;
    AddChunks(&made);
    return made;
  }

  /// Cuts the bytes into pieces of random length.
  std::vector<std::string> Split(const std::string& bytes) {
    std::vector<std::string> pieces;
    const std::size_t longest = 1 + Below(Below(2) == 0 ? 4 : 400);
    for (std::size_t at = 0; at < bytes.size();) {
      pieces.push_back(bytes.substr(at, 1 + Below(longest)));
      at += pieces.back().size();
    }
    return pieces;
  }

 private:
  std::string Either(const char* a, const char* b) {
    return Below(2) == 0 ? a : b;
  }
  std::string Zeros() { return std::string(Below(3), '0'); }
  std::string Fields() {
    std::string fields;
    for (std::size_t i = Below(4); i > 0; --i) {
      fields += "X-Field-" + std::to_string(i) + ":" + Either(" \t", "") +
                Either("a, \"b\"; c=d", "") + Either("", " \t") + "\r\n";
    }
    return fields;
  }
  /// May look like a request, or like the end of one.
  std::string Body(std::size_t limit) {
    static const std::string text = HiddenRequest() + "0\r\n\r\n\r\n";
    std::string body;
    for (std::size_t i = Below(limit); i > 0; --i) {
      body += text[(body.size() + Below(2)) % text.size()];
    }
    return body;
  }
  void AddChunks(MadeRequest* made) {
    for (std::size_t i = Below(5); i > 0; --i) {
      std::string chunk = Body(60);
      if (chunk.empty()) chunk = "x";
      char size[16];
      std::snprintf(size, sizeof(size), Below(2) == 0 ? "%zx" : "%zX",
                    chunk.size());
      made->bytes += Zeros() + size + Extension() + "\r\n" + chunk + "\r\n";
      made->body += chunk;
    }
    made->bytes += "0" + Zeros() + Extension() + "\r\n";
    for (std::size_t i = Below(4); i > 0; --i) {
      made->bytes += "X-Trailer-" + std::to_string(i) + ": " +
                     Either("a:b", "POST /hidden HTTP/1.1") + "\r\n";
    }
    made->bytes += "\r\n";
  }
  std::string Extension() {
    static const std::vector<std::string> extensions = {
        "", "", "", ";a", ";a=b", ";a=\"b;c\"", " ; a = b"};
    return extensions[Below(extensions.size())];
  }

  std::mt19937_64 random_;
};

}  // namespace cassiausher

#endif  // TESTS_DRIVERS_ODD_REQUESTS_H_
