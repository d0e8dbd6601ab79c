// Guards against logging that slows down or ends a process: a burst of one
// event must be rate-limited, and a reader of standard output that doesn't read
// or has closed the pipe must only cause lines to be dropped. Guards also
// against last lines that are lost with the process.
#include "core/log.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

namespace cassiausher {
namespace {

using std::chrono::steady_clock;

// Maximum lines of one event in one second.
constexpr int kLinesPerSecond = 100;
constexpr int kBurstLines = 5000;

// The log is global to a process, so each test logs from a child process whose
// standard output is a pipe.
class Child {
 public:
  explicit Child(const std::function<int()>& body) {
    CHECK_EQUAL(0, pipe(ends_));
    pid_ = fork();
    if (pid_ > 0) {
      close(ends_[1]);
      return;
    }
    close(ends_[0]);
    dup2(ends_[1], STDOUT_FILENO);
    close(ends_[1]);
    SetLogFormat(LogFormat::kJson);
    _exit(body());
  }

  void CloseOutput() { close(ends_[0]); }

  std::string ReadOutput() {
    std::string output;
    char buffer[4096];
    while (true) {
      const ssize_t size = read(ends_[0], buffer, sizeof(buffer));
      if (size <= 0) break;
      output.append(buffer, static_cast<std::size_t>(size));
    }
    close(ends_[0]);
    return output;
  }

  // Returns the exit status, or -1 if the child was killed by a signal.
  int Wait() {
    int status = 0;
    waitpid(pid_, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  int ends_[2] = {-1, -1};
  pid_t pid_ = -1;
};

// Lets a burst that follows start at the beginning of a second.
void WaitForNextSecond() {
  using std::chrono::milliseconds;
  const auto passed = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch()) %
                      1000;
  std::this_thread::sleep_for(milliseconds(1000) - passed);
}

}  // namespace

TEST_GROUP(Log){};

// A surge of callers in which each refusal writes a line.
TEST(Log, BurstOfOneEventIsRateLimitedAndDropsAreCounted) {
  Child child([] {
    WaitForNextSecond();
    for (int i = 0; i < kBurstLines; ++i) {
      Log(LogLevel::kInfo, "flood", {{"number", i}});
    }
    Log(LogLevel::kInfo, "rare", {{"number", 1}});
    WaitForNextSecond();
    Log(LogLevel::kInfo, "flood", {{"number", kBurstLines}});
    return 0;
  });
  std::istringstream lines(child.ReadOutput());
  CHECK_EQUAL(0, child.Wait());
  std::map<std::string, int> counts;
  std::int64_t left_out = 0;
  for (std::string line; std::getline(lines, line);) {
    const auto object = nlohmann::json::parse(line);
    ++counts[object["event"].get<std::string>()];
    left_out += object.value("left_out", std::int64_t{0});
  }
  // On a slow machine the burst may last several seconds, with up to
  // kLinesPerSecond lines in each. Every dropped line must be counted.
  CHECK_TRUE(counts["flood"] < kBurstLines / 2);
  CHECK_TRUE(counts["flood"] >= kLinesPerSecond);
  LONGS_EQUAL(kBurstLines + 1, counts["flood"] + left_out);
  LONGS_EQUAL(1, counts["rare"]);
}

TEST(Log, LoggingDoesNotBlockWhenOutputIsNotRead) {
  Child child([] {
    const auto start = steady_clock::now();
    // Each event has its own rate limit, so only the reader limits this loop.
    for (int i = 0; i < 20000; ++i) {
      Log(LogLevel::kInfo, "event_" + std::to_string(i), {{"number", i}});
    }
    const auto took = steady_clock::now() - start;
    if (DroppedLogLines() == 0) return 1;
    // A blocking write would wait until the parent reads.
    return took < std::chrono::seconds(20) ? 0 : 2;
  });
  CHECK_EQUAL(0, child.Wait());
  child.ReadOutput();
}

// More than a pipe holds, each line of an event of its own.
void LogMoreThanAPipeHolds() {
  const std::string text(1000, 'x');
  for (int i = 0; i < 120; ++i) {
    Log(LogLevel::kInfo, "event_" + std::to_string(i), {{"text", text}});
  }
  Log(LogLevel::kInfo, "stopped");
}

// The lines of a process that said why it cut answers were lost with it.
TEST(Log, LastLinesAreWrittenBeforeTheProcessEnds) {
  Child child([] {
    LogMoreThanAPipeHolds();
    FlushLog(Seconds(5));
    return 0;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const std::string output = child.ReadOutput();
  CHECK_EQUAL(0, child.Wait());
  CHECK(output.find("\"stopped\"") != std::string::npos);
}

TEST(Log, ReaderThatDoesNotReadDelaysTheEndOnlyBriefly) {
  Child child([] {
    LogMoreThanAPipeHolds();
    const auto start = steady_clock::now();
    FlushLog(Milliseconds(200));
    const auto took = steady_clock::now() - start;
    return took < std::chrono::milliseconds(600) ? 0 : 1;
  });
  CHECK_EQUAL(0, child.Wait());
  child.ReadOutput();
}

TEST(Log, ReaderThatHasGoneDoesNotDelayTheEnd) {
  Child child([] {
    std::signal(SIGPIPE, SIG_IGN);
    LogMoreThanAPipeHolds();
    const auto start = steady_clock::now();
    FlushLog(Seconds(20));
    const auto took = steady_clock::now() - start;
    return took < std::chrono::seconds(5) ? 0 : 1;
  });
  child.CloseOutput();
  CHECK_EQUAL(0, child.Wait());
}

TEST(Log, ProcessSurvivesClosedOutput) {
  Child child([] {
    // As the programs do at startup.
    std::signal(SIGPIPE, SIG_IGN);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (int i = 0; i < 100; ++i) Log(LogLevel::kInfo, "event", {{"n", i}});
    return 0;
  });
  child.CloseOutput();
  CHECK_EQUAL(0, child.Wait());
}

}  // namespace cassiausher
