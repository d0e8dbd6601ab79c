// Guards against daemons that end by themselves or don't start (issue 45). Each
// test runs the real process.
#include "tests/main/node/child_process.h"

namespace cassiausher {
namespace {

bool IsReady(const ChildProcess& process) {
  const TestSocket caller;
  if (!caller.Connect(process.ip(), kReadinessPort)) return false;
  return caller
      .Exchange("GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
      .starts_with("HTTP/1.1 200");
}

}  // namespace

TEST_GROUP(DaemonProcess){};

// A start gave up, with status 1, while another process held an address.
TEST(DaemonProcess, AStartWaitsForAnAddressThatIsHeld) {
  for (const std::uint16_t port : {kPeerPort, kCallerPort, kReadinessPort}) {
    ChildProcess process("daemon");
    auto holder = std::make_unique<TestSocket>();
    holder->Listen(process.ip(), port);
    process.Start();
    CHECK_TRUE(WaitUntil(
        [&] { return process.HasLogged("start_waits") || !process.Runs(); }));
    CHECK_TRUE(process.Runs());
    holder.reset();
    CHECK_TRUE(WaitUntil([&] { return IsReady(process); }));
    process.Signal(SIGTERM);
    CHECK_TRUE(WaitUntil([&] { return !process.Runs(); }));
    LONGS_EQUAL(0, process.Ended());
  }
}

// A daemon that waits may not wait for the whole of its shutdown as well.
TEST(DaemonProcess, AStartThatWaitsEndsAtOnceOnSigterm) {
  for (const std::uint16_t port : {kPeerPort, kCallerPort, kReadinessPort}) {
    ChildProcess process("daemon");
    const TestSocket holder;
    holder.Listen(process.ip(), port);
    process.Start();
    CHECK_TRUE(WaitUntil(
        [&] { return process.HasLogged("start_waits") || !process.Runs(); }));
    CHECK_TRUE(process.Runs());
    process.Signal(SIGTERM);
    CHECK_TRUE(WaitUntil([&] { return !process.Runs(); }));
    LONGS_EQUAL(0, process.Ended());
  }
}

// Most signals ended the process by their default.
TEST(DaemonProcess, StraySignalsDoNotEndADaemon) {
  ChildProcess process("daemon");
  process.Start();
  CHECK_TRUE(WaitUntil([&] { return IsReady(process); }));
  for (const int signal : {SIGHUP, SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGIO,
                           SIGPROF, SIGXCPU, SIGXFSZ, SIGPWR, SIGRTMIN}) {
    process.Signal(signal);
  }
  // SIGUSR1 asks for the state.
  CHECK_TRUE(
      WaitUntil([&] { return process.HasLogged("\"open_requests\":0"); }));
  CHECK_TRUE(IsReady(process));
  process.Signal(SIGQUIT);
  CHECK_TRUE(WaitUntil([&] { return !process.Runs(); }));
  LONGS_EQUAL(0, process.Ended());
}

// Once out of descriptors the daemon kept everybody out.
TEST(DaemonProcess, AHerdOfConnectionsKeepsNobodyOut) {
  constexpr int kHerd = 600;
  for (const std::uint16_t port : {kCallerPort, kReadinessPort}) {
    ChildProcess process("daemon");
    process.Start({.descriptors = 400});
    CHECK_TRUE(WaitUntil([&] { return IsReady(process); }));
    std::vector<std::unique_ptr<TestSocket>> herd;
    for (int i = 0; i < kHerd; ++i) {
      herd.push_back(std::make_unique<TestSocket>());
      herd.back()->Connect(process.ip(), port);
    }
    CHECK_TRUE(WaitUntil([&] { return IsReady(process); }));
    CHECK_TRUE(process.Get(port).starts_with("HTTP/1.1 "));
  }
}

}  // namespace cassiausher
