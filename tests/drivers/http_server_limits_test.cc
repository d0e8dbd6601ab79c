// Guards against requests without end, which took memory or held their
// connection for ever, and against callers that don't read their answers.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "drivers/http_server.h"
#include "tests/drivers/http_server_fixture.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr std::size_t kEndlessBytes = std::size_t{16} << 20;
constexpr std::size_t kMaxRequestBytes = 256 << 10;
constexpr gint64 kReadTimeoutMicroseconds = 300000;

struct HttpServerLimitsFixture : HttpServerFixture {
  void setup() override {
    HttpServerFixture::setup();
    Listen({.max_body_bytes = 100000,
            .max_unsent_bytes = 1 << 20,
            .read_timeout = Duration(kReadTimeoutMicroseconds),
            .max_reading_bytes = 250000});
  }

  template <typename Ended>
  bool RunUntil(Ended ended, gint64 microseconds = 3 * G_USEC_PER_SEC) {
    return cassiausher::RunUntil(context, ended, Duration(microseconds));
  }

  // Sends a piece again and again; the server must end the connection soon.
  void CheckEnds(const std::string& head, const std::string& piece) {
    RawCaller caller(server->port());
    caller.SendWhatFits(head);
    std::string block;
    while (block.size() < 8192) block += piece;
    CHECK_TRUE(RunUntil([&] {
      if (caller.sent < kEndlessBytes) caller.SendWhatFits(block);
      caller.Read();
      return caller.ended();
    }));
    CHECK(held.empty());
  }

  void CheckEndsOnceAnswered(const std::string& piece) {
    RawCaller caller(server->port());
    caller.SendWhatFits(
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\nX: ");
    std::string block;
    while (block.size() < 8192) block += piece;
    CHECK_TRUE(RunUntil([&] {
      if (!held.empty()) held.back()->Respond(200, "text/plain", "ok");
      if (caller.sent < kEndlessBytes) caller.SendWhatFits(block);
      caller.Read();
      return caller.ended();
    }));
    CHECK(held.size() <= 1);
  }
};

}  // namespace

TEST_GROUP_BASE(HttpServerLimits, HttpServerLimitsFixture){};

TEST(HttpServerLimits, HeadersWithoutEnd) {
  CheckEnds("POST /x HTTP/1.1\r\nHost: a\r\n", "X-More: x\r\n");
}

TEST(HttpServerLimits, HeaderLineWithoutEnd) {
  CheckEnds("POST /x HTTP/1.1\r\nHost: a\r\nX-Long: ", "x");
}

TEST(HttpServerLimits, RequestLineWithoutEnd) { CheckEnds("POST /", "x"); }

TEST(HttpServerLimits, ChunkedBodyWithoutEnd) {
  CheckEnds("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            "5\r\nhello\r\n");
}

TEST(HttpServerLimits, LongBodyWithLengthThatIsSentAnyway) {
  CheckEnds(
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000000\r\n\r\n",
      "x");
}

TEST(HttpServerLimits, ChunkExtensionWithoutEnd) {
  CheckEnds(
      "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;",
      "x");
}

TEST(HttpServerLimits, LongExtensionsOfShortChunks) {
  CheckEnds("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1;" + std::string(90, 'x') + "\r\nh\r\n");
}

// libsoup takes the first trailer line for the end of the request. What follows
// is read as the next one, after the answer.
TEST(HttpServerLimits, TrailersWithoutEnd) {
  CheckEndsOnceAnswered("X-More: x\r\n");
}

TEST(HttpServerLimits, TrailerLineWithoutEnd) { CheckEndsOnceAnswered("x"); }

// Some bytes at a time, so that no limit of bytes is reached.
TEST(HttpServerLimits, RequestThatIsNeverCompleteTimesOut) {
  for (const std::string head :
       {"POST /x HTTP/1.1\r\nHost: a\r\n",
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"}) {
    RawCaller caller(server->port());
    caller.SendWhatFits(head);
    CHECK_TRUE(RunUntil([&] {
      caller.SendWhatFits("X");
      caller.Read();
      return caller.ended();
    }));
  }
}

TEST(HttpServerLimits, RefusedBodyGetsItsRefusal) {
  RawCaller caller(server->port());
  caller.SendWhatFits(
      "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::string block = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
  CHECK_TRUE(RunUntil([&] {
    caller.SendWhatFits(block);
    caller.Read();
    return caller.ended();
  }));
  CHECK(caller.received.starts_with("HTTP/1.1 413"));
}

// A kept connection is idle for longer than a request may take.
TEST(HttpServerLimits, IdleConnectionIsKept) {
  RawCaller caller(server->port());
  const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  for (std::size_t i = 0; i < 3; ++i) {
    caller.SendWhatFits(request);
    CHECK_TRUE(RunUntil([&] { return held.size() == i + 1; }));
    held.back()->Respond(200, "text/plain", "ok");
    RunUntil([] { return false; }, 2 * kReadTimeoutMicroseconds);
    caller.Read();
    CHECK_FALSE(caller.ended());
  }
}

// The handler of a request may take longer than its caller to send it.
TEST(HttpServerLimits, SlowHandlerKeepsItsCaller) {
  RawCaller caller(server->port());
  caller.SendWhatFits(
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
  CHECK_TRUE(RunUntil([&] { return !held.empty(); }));
  RunUntil([] { return false; }, 2 * kReadTimeoutMicroseconds);
  held.back()->Respond(200, "text/plain", "ok");
  CHECK_TRUE(RunUntil([&] {
    caller.Read();
    return caller.received.ends_with("ok");
  }));
}

TEST(HttpServerLimits, BodyWithinTheLimitsInShortChunksIsTaken) {
  RawCaller caller(server->port());
  std::string request =
      "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20000; ++i) request += "1\r\nx\r\n";
  caller.SendWhatFits(request + "0\r\n\r\n");
  CHECK_TRUE(RunUntil([&] { return !held.empty(); }));
  LONGS_EQUAL(20000, held.back()->body().size());
}

// Hundreds of callers with bodies that aren't complete held up to the limit of
// one body each.
TEST(HttpServerLimits, BodiesBeingReadAreLimitedTogether) {
  constexpr std::size_t kBodyBytes = 90000;
  constexpr std::size_t kFirstBytes = 52000;
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 5; ++i) {
    callers.push_back(std::make_unique<RawCaller>(server->port()));
    callers.back()->SendWhatFits(
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
        std::to_string(kBodyBytes) + "\r\n\r\n" +
        std::string(kFirstBytes, 'x'));
  }
  // Together 260,000 bytes of 250,000: one request is refused.
  const auto any_ended = [&] {
    return std::any_of(callers.begin(), callers.end(), [](const auto& caller) {
      caller->Read();
      return caller->ended();
    });
  };
  CHECK_TRUE(RunUntil(any_ended, kReadTimeoutMicroseconds));
  std::size_t refused = 0;
  for (const auto& caller : callers) {
    if (!caller->ended()) continue;
    ++refused;
    CHECK(caller->received.starts_with("HTTP/1.1 503"));
  }
  LONGS_EQUAL(1, refused);
  std::size_t taken = 0;
  for (const auto& caller : callers) {
    if (caller->ended()) continue;
    caller->SendWhatFits(std::string(kBodyBytes - kFirstBytes, 'x'));
    ++taken;
    CHECK_TRUE(RunUntil([&] { return held.size() == taken; }));
    LONGS_EQUAL(kBodyBytes, held.back()->body().size());
  }
}

// Callers that read nothing held as much memory as their answers had.
TEST(HttpServerLimits, UnreadAnswersAreCutBeyondTheLimit) {
  std::vector<std::unique_ptr<RawCaller>> callers;
  const std::string large(4 << 20, 'x');
  for (std::size_t i = 0; i < 4; ++i) {
    callers.push_back(std::make_unique<RawCaller>(server->port()));
    callers.back()->SendWhatFits("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK_TRUE(RunUntil([&] { return held.size() == i + 1; }));
    held.back()->StartStream(200, "text/plain");
    for (int piece = 0; piece < 40; ++piece) {
      held.back()->Write(std::string(100000, 'x'));
      CHECK(server->unsent_bytes() <= 1 << 20);
      RunUntil([] { return true; });
    }
  }
}
