// Guards requests against their log: a flood of lines is bounded, and a reader
// that doesn't read, or is gone, costs lines and nothing else.
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

// Lines of one event that are written in one second.
constexpr int kLinesPerSecond = 100;
constexpr int kFlood = 5000;

// The log is one per process, so each test logs in a process of its own, whose
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

  // Exit status, or -1 if a signal ended it.
  int Wait() {
    int status = 0;
    waitpid(pid_, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  int ends_[2] = {-1, -1};
  pid_t pid_ = -1;
};

// So that a flood lies within one second.
void WaitForNextSecond() {
  using std::chrono::milliseconds;
  const auto passed = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch()) %
                      1000;
  std::this_thread::sleep_for(milliseconds(1000) - passed);
}

}  // namespace

TEST_GROUP(Log){};

// Pattern: many users come at once, and each is refused with a line.
TEST(Log, AFloodOfOneEventIsBoundedAndToldOf) {
  Child child([] {
    WaitForNextSecond();
    for (int i = 0; i < kFlood; ++i) {
      Log(LogLevel::kInfo, "flood", {{"number", i}});
    }
    Log(LogLevel::kInfo, "rare", {{"number", 1}});
    WaitForNextSecond();
    Log(LogLevel::kInfo, "flood", {{"number", kFlood}});
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
  // The flood may go on for some seconds on a slow machine, with as many lines
  // in each; none is lost uncounted.
  CHECK_TRUE(counts["flood"] < kFlood / 2);
  CHECK_TRUE(counts["flood"] >= kLinesPerSecond);
  LONGS_EQUAL(kFlood + 1, counts["flood"] + left_out);
  LONGS_EQUAL(1, counts["rare"]);
}

TEST(Log, AReaderThatDoesNotReadCostsNoTime) {
  Child child([] {
    const auto start = steady_clock::now();
    // Each event has its own budget, so only the reader bounds this.
    for (int i = 0; i < 20000; ++i) {
      Log(LogLevel::kInfo, "event_" + std::to_string(i), {{"number", i}});
    }
    const auto took = steady_clock::now() - start;
    if (DroppedLogLines() == 0) return 1;
    // A blocked write would last until the reader comes.
    return took < std::chrono::seconds(20) ? 0 : 2;
  });
  CHECK_EQUAL(0, child.Wait());
  child.ReadOutput();
}

TEST(Log, AClosedOutputCostsLinesOnly) {
  Child child([] {
    // As the programs do at their start.
    std::signal(SIGPIPE, SIG_IGN);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (int i = 0; i < 100; ++i) Log(LogLevel::kInfo, "event", {{"n", i}});
    return 0;
  });
  child.CloseOutput();
  CHECK_EQUAL(0, child.Wait());
}

}  // namespace cassiausher
