// Guards against signals that end the process while it starts.
#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <string>

namespace {

// Exit status for any finding in the settings.
constexpr int kRefusedSettings = 2;

// Starts cassiausher_node with SIGHUP as in a new session: not ignored.
pid_t StartNode(const std::string& role, const std::string& settings_file) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setsigdefault(&attributes, &signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
  std::string arguments[] = {CASSIAUSHER_NODE, role, "--settings",
                             settings_file};
  char* argv[] = {arguments[0].data(), arguments[1].data(), arguments[2].data(),
                  arguments[3].data(), nullptr};
  pid_t child = -1;
  LONGS_EQUAL(
      0, posix_spawn(&child, argv[0], nullptr, &attributes, argv, environ));
  posix_spawnattr_destroy(&attributes);
  return child;
}

// Opens a pipe for writing once its reader has opened it; -1 after 10 s.
int OpenForReader(const std::string& pipe) {
  const gint64 deadline = g_get_monotonic_time() + 10 * G_USEC_PER_SEC;
  int descriptor = -1;
  while (descriptor < 0 && g_get_monotonic_time() < deadline) {
    descriptor = open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (descriptor < 0) g_usleep(500);
  }
  return descriptor;
}

}  // namespace

TEST_GROUP(NodeStart) {
  std::string folder;

  void setup() override {
    char name[] = "/tmp/cassiausher-start-XXXXXX";
    folder = mkdtemp(name);
  }
  void teardown() override { std::filesystem::remove_all(folder); }
};

// A SIGHUP to reload the settings ended an instance that was still starting.
TEST(NodeStart, ASighupWhileTheSettingsAreReadDoesNotEndTheProcess) {
  for (const std::string role : {"control", "entry"}) {
    const std::string pipe = folder + "/" + role;
    LONGS_EQUAL(0, mkfifo(pipe.c_str(), 0600));
    const pid_t child = StartNode(role, pipe);
    const int writer = OpenForReader(pipe);
    CHECK(writer >= 0);
    LONGS_EQUAL(0, kill(child, SIGHUP));
    // Ends the settings, which are refused since they are empty.
    close(writer);
    int status = 0;
    LONGS_EQUAL(child, waitpid(child, &status, 0));
    CHECK_TRUE(WIFEXITED(status));
    // Not before: the settings were read to their end.
    LONGS_EQUAL(kRefusedSettings, WEXITSTATUS(status));
  }
}
