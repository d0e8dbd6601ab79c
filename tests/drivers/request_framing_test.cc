// Guards against requests that the HTTP library reads in another way than the
// RFC, so that a hidden one is run or a sound one isn't served (issue 56).
#include "drivers/request_framing.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "tests/drivers/odd_requests.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

// What the library gets of the bytes of one connection.
struct Passed {
  std::string output;
  std::vector<RequestHead> heads;
  bool refused = false;
  std::size_t most_held = 0;
};

Passed Pass(const std::vector<std::string>& pieces) {
  RequestFraming framing({});
  Passed passed;
  std::string held;
  for (const std::string& piece : pieces) {
    held += piece;
    for (;;) {
      const RequestFraming::Progress progress =
          framing.Read(held, &passed.output);
      held.erase(0, progress.taken);
      if (progress.needs_more || held.empty()) break;
    }
    passed.most_held = std::max(passed.most_held, held.size());
  }
  while (framing.has_head()) passed.heads.push_back(framing.TakeHead());
  passed.refused = framing.ended();
  return passed;
}

// Sound requests as the framing writes them, which has one form for each: with
// chunks of its own.
std::string ContentOf(std::string_view output) {
  std::string content;
  while (!output.empty()) {
    const std::size_t line = output.find("\r\n");
    const std::size_t size =
        std::stoul(std::string(output.substr(0, line)), nullptr, 16);
    content += output.substr(line + 2, size);
    output.remove_prefix(line + 2 + size + 2);
    if (size == 0) break;
  }
  return content;
}

void CheckSound(const MadeRequest& made, const std::vector<std::string>& in) {
  const Passed passed = Pass(in);
  CHECK_FALSE(passed.refused);
  LONGS_EQUAL(1, passed.heads.size());
  STRCMP_EQUAL(made.target.c_str(),
               std::string(passed.heads[0].target.text()).c_str());
  const std::size_t head = passed.output.find("\r\n\r\n") + 4;
  const std::string body = passed.output.substr(head);
  const bool chunked = passed.output.substr(0, head).find(
                           "Transfer-Encoding") != std::string::npos;
  CHECK(made.body == (chunked ? ContentOf(body) : body));
}

std::uint64_t Seeds() {
  const char* text = std::getenv("CASSIAUSHER_FRAMING_SEEDS");
  return text == nullptr ? 2000 : std::strtoull(text, nullptr, 10);
}

}  // namespace

TEST_GROUP(RequestFraming){};

// Each was passed on, or its hidden request was.
TEST(RequestFraming, UnsoundRequestsAreRefused) {
  for (const UnsoundRequest& request : UnsoundRequests()) {
    const Passed passed = Pass({request.bytes});
    CHECK_TEXT(passed.refused, request.what);
    LONGS_EQUAL_TEXT(1, passed.heads.size(), request.what);
    CHECK_TEXT(passed.heads[0].refusal.has_value(), request.what);
  }
}

// A request was judged by the part that had arrived.
TEST(RequestFraming, UnsoundRequestsAreNotPassedOnWhereverTheyAreCut) {
  RequestMaker maker(1);
  for (const UnsoundRequest& request : UnsoundRequests()) {
    for (int i = 0; i < 20; ++i) {
      const Passed passed = Pass(maker.Split(request.bytes));
      CHECK_TEXT(passed.output.find("/hidden") == std::string::npos,
                 request.what);
      for (const RequestHead& head : passed.heads) {
        CHECK_TEXT(head.target.text() != kHiddenTarget, request.what);
      }
      CHECK_TEXT(passed.heads.size() <= 1, request.what);
    }
  }
}

// Sound bodies, trailers and extensions were refused, or spoiled the next
// request of their connection.
TEST(RequestFraming, SoundRequestsArePassedOnWholeWhereverTheyAreCut) {
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    RequestMaker maker(seed);
    const MadeRequest made = maker.Sound();
    CheckSound(made, {made.bytes});
    CheckSound(made, maker.Split(made.bytes));
  }
}

// What follows a sound request was taken for a part of it.
TEST(RequestFraming, PipelinedRequestsKeepTheirBounds) {
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    RequestMaker maker(seed);
    std::string bytes;
    std::vector<MadeRequest> made(1 + maker.Below(5));
    for (MadeRequest& request : made) {
      request = maker.Sound();
      bytes += request.bytes;
    }
    const std::vector<UnsoundRequest> unsound = UnsoundRequests();
    const bool ends = maker.Below(2) == 0;
    if (ends) bytes += unsound[maker.Below(unsound.size())].bytes;
    const Passed passed = Pass(maker.Split(bytes));
    CHECK(passed.heads.size() >= made.size());
    CHECK(passed.heads.size() <= made.size() + (ends ? 1 : 0));
    for (std::size_t i = 0; i < made.size(); ++i) {
      CHECK(!passed.heads[i].refusal);
      CHECK(made[i].target == passed.heads[i].target.text());
    }
  }
}

// Bytes without end were held.
TEST(RequestFraming, HeldBytesAreBounded) {
  const std::string coded =
      "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kMaxHeldBytes = 56 << 10;
  for (const std::string& begin :
       {std::string("GET /"), std::string("GET / HTTP/1.1\r\nX: "), coded + "0",
        coded + "1;a=", coded + "0\r\nX: ", coded + "0\r\nX: a\r\nY: "}) {
    std::vector<std::string> pieces = {begin};
    pieces.resize(1000, std::string(1000, 'x'));
    const Passed passed = Pass(pieces);
    CHECK_TEXT(passed.refused, begin.c_str());
    CHECK_TEXT(passed.most_held <= kMaxHeldBytes, begin.c_str());
  }
}

// A target in absolute form replaces the host.
TEST(RequestFraming, AbsoluteFormReplacesTheHost) {
  const Passed passed =
      Pass({"GET http://b.example?q HTTP/1.1\r\nHost: a\r\n\r\n"});
  STRCMP_EQUAL("/?q", std::string(passed.heads[0].target.text()).c_str());
  STRCMP_EQUAL("q", std::string(passed.heads[0].target.query()).c_str());
  CHECK(passed.output.find("Host: b.example\r\n") != std::string::npos);
}
