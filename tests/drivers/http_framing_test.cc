// Guards the server's connections: what is run, answered and read next on them
// when clients send odd bytes (issue 56), or nothing (issue 49).
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/drivers/http_server_fixture.h"
#include "tests/drivers/odd_requests.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr std::string_view kNext = "POST /next HTTP/1.1\r\nHost: a\r\n\r\n";

std::uint16_t PortOf(const sockaddr_in& address) {
  return ntohs(address.sin_port);
}

// The descriptor of this process that is connected to `port`; -1 if none.
int PeerOf(std::uint16_t port) {
  constexpr int kMaxDescriptor = 1024;
  for (int descriptor = 0; descriptor < kMaxDescriptor; ++descriptor) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) !=
        0) {
      continue;
    }
    if (peer.sin_family == AF_INET && PortOf(peer) == port) return descriptor;
  }
  return -1;
}

struct HttpFramingFixture : HttpServerFixture {
  void setup() override {
    HttpServerFixture::setup();
    Listen({});
  }

  // Runs each request that arrives until `done`, and keeps what it was.
  template <typename Done>
  bool Serve(RawCaller& caller, Done done, Duration timeout = Seconds(5)) {
    return RunUntil(
        context,
        [&] {
          for (const HttpExchangePtr& exchange : held) {
            run.emplace_back(exchange->target().text());
            bodies.emplace_back(exchange->body());
            exchange->Respond(200, "text/plain", "ran " + run.back());
          }
          held.clear();
          caller.Read();
          return done();
        },
        timeout);
  }

  std::vector<std::string> run;
  std::vector<std::string> bodies;
};

}  // namespace

TEST_GROUP_BASE(HttpFraming, HttpFramingFixture){};

// review/9: a request in the trailers of another one was run.
TEST(HttpFraming, UnsoundRequestsAreAnsweredAndNothingAfterThemIsRun) {
  for (const UnsoundRequest& request : UnsoundRequests()) {
    for (const bool kept : {false, true}) {
      run.clear();
      RawCaller caller(server->port());
      if (kept) {
        caller.Send(kNext);
        CHECK(Serve(caller, [&] { return !caller.received.empty(); }));
        caller.received.clear();
      }
      caller.Send(request.bytes);
      CHECK_TEXT(Serve(caller, [&] { return caller.ended(); }), request.what);
      LONGS_EQUAL_TEXT(kept ? 1 : 0, run.size(), request.what);
      CHECK_TEXT(caller.closed, request.what);
      const char status = caller.received.substr(9, 1)[0];
      CHECK_TEXT(status == '4' || status == '5', request.what);
    }
  }
}

// review/9: a sound upload with two trailers was followed by a 400 that the
// next request of its connection got.
TEST(HttpFraming, SoundRequestsAndTheNextOnTheirConnectionAreServed) {
  constexpr std::uint64_t kSeeds = 150;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RequestMaker maker(seed);
    const MadeRequest made = maker.Sound();
    run.clear();
    bodies.clear();
    RawCaller caller(server->port());
    caller.Send(made.bytes);
    CHECK(
        Serve(caller, [&] { return caller.received.ends_with(made.target); }));
    caller.Send(kNext);
    CHECK(Serve(caller, [&] { return caller.received.ends_with("/next"); }));
    CHECK(run == (std::vector<std::string>{made.target, "/next"}));
    CHECK(made.body == bodies[0]);
  }
}

// The end of a connection inside a body was taken for that of the body.
TEST(HttpFraming, TruncatedBodiesAreNotRun) {
  for (const char* rest : {"", "0", "0\r\n", "0\r\nX: a\r\n", "3\r\nab"}) {
    const int before = OpenDescriptors();
    {
      RawCaller caller(server->port());
      caller.Send(
          "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
          "chunked\r\n\r\n3\r\nabc\r\n");
      caller.Send(rest);
      Serve(
          caller, [] { return false; }, Milliseconds(20));
    }
    CHECK(RunUntil(context, [&] { return OpenDescriptors() == before; }));
    CHECK(held.empty());
  }
}

// review/4: paths and queries reached endpoints normalised.
TEST(HttpFraming, TargetsAreThoseThatWereSent) {
  for (const char* target : {"/%7Emaria", "/a%2fb", "/a?x%2by%3d", "/./a/../b",
                             "/a/?", "//a", "/a;b=c?d?e"}) {
    RawCaller caller(server->port());
    caller.Send(std::string("GET ") + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Serve(caller, [&] { return !caller.received.empty(); }));
    STRCMP_EQUAL(target, run.back().c_str());
  }
}

// review/8: a request line without end on a kept connection was neither ended
// nor counted.
TEST(HttpFraming, HeadsOnKeptConnectionsAreCountedAndEnded) {
  const auto memory = std::make_shared<MemoryBudget>(
      MemoryBudgetOptions{.limit_bytes = 1 << 20});
  Listen({.memory = memory, .head_timeout = Milliseconds(300)});
  RawCaller caller(server->port());
  caller.Send(kNext);
  CHECK(Serve(caller, [&] { return !caller.received.empty(); }));
  const std::int64_t before = memory->held();
  caller.received.clear();
  caller.Send("GET /" + std::string(12 << 10, 'x'));
  CHECK(Serve(caller, [&] { return memory->held() >= before + (12 << 10); }));
  CHECK(Serve(
      caller, [&] { return caller.ended(); }, Seconds(2)));
  CHECK(caller.received.starts_with("HTTP/1.1 408"));
}

// Heads that aren't complete make room for others, and what they held is free.
TEST(HttpFraming, HeadsThatDoNotFitAreRefused) {
  constexpr std::int64_t kLimitBytes = 256 << 10;
  constexpr int kCallers = 40;
  const auto memory = std::make_shared<MemoryBudget>(
      MemoryBudgetOptions{.limit_bytes = kLimitBytes});
  Listen({.memory = memory});
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(server->port()));
    callers.back()->Send("GET /" + std::string(12 << 10, 'x'));
  }
  std::size_t refused = 0;
  CHECK(Serve(*callers[0], [&] {
    refused = 0;
    for (const auto& caller : callers) {
      caller->Read();
      if (caller->received.starts_with("HTTP/1.1 503")) ++refused;
    }
    return refused >= kCallers / 2;
  }));
  CHECK(memory->held() <= kLimitBytes);
  callers.clear();
  CHECK(RunUntil(context, [&] { return memory->held() == 0; }));
}

// review/6: the refusal of a client whose earlier answers filled the socket's
// buffer waited for that client, and the whole task with it.
TEST(HttpFraming, RefusalOfAClientThatDoesNotReadDoesNotWait) {
  Listen({.read_timeout = Milliseconds(800)});
  RawCaller caller(server->port(), ReceiveWindow::kSmall);
  caller.Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx");
  Serve(
      caller, [] { return false; }, Milliseconds(50));
  // Stands for the answers. The kernel makes some room while the window fills.
  const std::string filling(64 << 10, 'x');
  const int server_side = PeerOf(caller.port());
  CHECK(server_side >= 0);
  RunUntil(
      context,
      [&] {
        send(server_side, filling.data(), filling.size(),
             MSG_DONTWAIT | MSG_NOSIGNAL);
        return false;
      },
      Milliseconds(500));
  // A task that waits iterates no more: the test would hang.
  RunUntil(
      context, [] { return false; }, Seconds(1));
  RawCaller other(server->port());
  other.Send(kNext);
  CHECK(Serve(other, [&] { return other.received.ends_with("/next"); }));
}

// review/7: a request was read from a connection that had been chosen to be
// ended, run, and not answered.
TEST(HttpFraming, RequestsThatHaveArrivedAreAnsweredBeyondTheLimit) {
  constexpr int kCallers = 40;
  Listen({.max_descriptor = OpenDescriptors() + kCallers});
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 3 * kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(server->port()));
    callers.back()->Send(i % 2 == 0 ? kNext : kNext.substr(0, 1));
  }
  std::size_t answers = 0;
  RawCaller last(server->port());
  CHECK(Serve(last, [&] {
    answers = 0;
    for (const auto& caller : callers) {
      caller->Read();
      if (!caller->received.empty()) ++answers;
    }
    return answers >= run.size() && run.size() == callers.size() / 2;
  }));
  LONGS_EQUAL(run.size(), answers);
}
