// Runs cassiausher_node, or cassiausherd (the role "daemon"), as a process of
// its own, under limits of the system.
#ifndef TESTS_MAIN_NODE_CHILD_PROCESS_H_
#define TESTS_MAIN_NODE_CHILD_PROCESS_H_

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

namespace cassiausher {

constexpr std::uint16_t kPeerPort = 7660;
constexpr std::uint16_t kControlPort = 7661;
constexpr std::uint16_t kCallerPort = 7662;
constexpr std::uint16_t kReadinessPort = 7663;
constexpr std::uint16_t kRelayPort = 7664;

/// Checks `done` until it holds; false after the timeout.
template <typename Done>
bool WaitUntil(Done done, int timeout_s = 10) {
  const gint64 deadline =
      g_get_monotonic_time() + timeout_s * gint64{G_USEC_PER_SEC};
  while (!done()) {
    if (g_get_monotonic_time() > deadline) return false;
    g_usleep(5000);
  }
  return true;
}

/// A TCP socket; closed with the object.
class TestSocket {
 public:
  TestSocket() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const timeval timeout{.tv_sec = 2, .tv_usec = 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  }
  ~TestSocket() { close(descriptor_); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  bool Connect(const std::string& ip, std::uint16_t port) const {
    const sockaddr_in address = Address(ip, port);
    return connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0;
  }
  void Listen(const std::string& ip, std::uint16_t port) const {
    const sockaddr_in address = Address(ip, port);
    LONGS_EQUAL(0,
                bind(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address)));
    LONGS_EQUAL(0, listen(descriptor_, 1));
  }
  /// Returns what comes until the peer closes or falls silent.
  std::string Exchange(const std::string& request) const {
    send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL);
    std::string answer;
    char buffer[4096];
    for (;;) {
      const ssize_t size = recv(descriptor_, buffer, sizeof(buffer), 0);
      if (size <= 0) return answer;
      answer.append(buffer, static_cast<std::size_t>(size));
    }
  }

  /// Returns what comes first; the connection stays open.
  std::string ExchangeOnce(const std::string& request) const {
    send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL);
    char buffer[4096];
    const ssize_t size = recv(descriptor_, buffer, sizeof(buffer), 0);
    return size <= 0 ? std::string()
                     : std::string(buffer, static_cast<std::size_t>(size));
  }

 private:
  static sockaddr_in Address(const std::string& ip, std::uint16_t port) {
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
  }

  int descriptor_;
};

/// Limits under which a process starts.
struct ProcessLimits {
  rlim_t descriptors = 0;  ///< 0 for those of this process.
  /// Bytes; RLIM_INFINITY for no limit.
  rlim_t file_size = RLIM_INFINITY;
  bool closed_output = false;
};

/// An instance at an address of its own, with its files in a folder of its own.
class ChildProcess {
 public:
  explicit ChildProcess(std::string role) : role_(std::move(role)) {
    char name[] = "/tmp/cassiausher-child-XXXXXX";
    folder_ = mkdtemp(name);
    static int last_host = 0;
    ip_ = "127." + std::to_string(60 + getpid() % 100) + "." +
          std::to_string(getpid() / 100 % 250) + "." +
          std::to_string(++last_host);
  }
  ~ChildProcess() {
    Kill();
    std::filesystem::remove_all(folder_);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Start(const ProcessLimits& limits = {}) {
    std::ofstream(folder_ + "/settings.json") << Settings();
    const std::string settings = folder_ + "/settings.json";
    const std::string log = folder_ + "/log";
    pid_ = fork();
    if (pid_ != 0) return;
    for (int signal = 1; signal < SIGRTMIN; ++signal) {
      std::signal(signal, SIG_DFL);
    }
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    close(output);
    if (limits.closed_output) close(STDOUT_FILENO);
    Limit(RLIMIT_FSIZE, limits.file_size);
    if (limits.descriptors > 0) Limit(RLIMIT_NOFILE, limits.descriptors);
#ifdef CASSIAUSHERD
    execl(CASSIAUSHERD, CASSIAUSHERD, "--config", settings.c_str(), nullptr);
#else
    execl(CASSIAUSHER_NODE, CASSIAUSHER_NODE, role_.c_str(), "--settings",
          settings.c_str(), nullptr);
#endif
    _exit(127);
  }
  /// The status of waitpid(); -1 while the process runs.
  int Ended() {
    if (pid_ <= 0) return status_;
    if (waitpid(pid_, &status_, WNOHANG) != pid_) return -1;
    pid_ = 0;
    return status_;
  }
  bool Runs() { return Ended() == -1; }
  void Signal(int signal) const {
    // 0 would be the process group of the test.
    if (pid_ > 0) kill(pid_, signal);
  }
  void Kill() {
    if (!Runs()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = 0;
  }
  bool HasLogged(const std::string& text) const {
    std::ifstream log(folder_ + "/log");
    const std::string lines(std::istreambuf_iterator<char>(log), {});
    return lines.find(text) != std::string::npos;
  }
  bool Serves() {
    return WaitUntil([this] {
             return HasLogged("\"event\":\"serving\"") || !Runs();
           }) &&
           Runs();
  }
  /// The answer to a call without a body; empty if there is none.
  std::string Get(std::uint16_t port) const {
    const TestSocket caller;
    if (!caller.Connect(ip_, port)) return {};
    return caller.Exchange("GET /api/config HTTP/1.1\r\nHost: " + ip_ +
                           "\r\nConnection: close\r\n\r\n");
  }

  const std::string& ip() const { return ip_; }
  const std::string& folder() const { return folder_; }
  pid_t pid() const { return pid_; }

 private:
  static void Limit(__rlimit_resource_t resource, rlim_t value) {
    if (value == RLIM_INFINITY) return;
    // The hard limit of descriptors holds as well.
    const rlimit limit{
        .rlim_cur = value,
        .rlim_max = resource == RLIMIT_NOFILE ? value : RLIM_INFINITY};
    setrlimit(resource, &limit);
  }
  std::string At(std::uint16_t port) const {
    return "\"" + ip_ + ":" + std::to_string(port) + "\"";
  }
  std::string Settings() const {
    if (role_ == "daemon") {
      return R"({"instance":"i","data_centre":"z","listen":{"caller":)" +
             At(kCallerPort) + ",\"admin\":" + At(kReadinessPort) +
             ",\"peer\":" + At(kPeerPort) +
             R"(},"keys":{},"peers":[{"instance":"i","data_centre":"z",)" +
             "\"address\":" + At(kPeerPort) + "}]}";
    }
    const bool entry = role_ == "entry";
    const std::string listen =
        entry ? "\"callers\":" + At(kCallerPort) +
                    ",\"readiness\":" + At(kReadinessPort) +
                    ",\"relay\":" + At(kRelayPort)
              : "\"control\":" + At(kControlPort);
    return "{\"instance\":\"i\",\"address\":\"" + ip_ +
           "\",\"data_centre\":\"z\",\"listen\":{" + listen +
           "},\"peer_port\":" + std::to_string(kPeerPort) + ",\"seeds\":[" +
           At(kControlPort) + "],\"first_start\":true,\"data_folder\":\"" +
           (entry ? "" : folder_ + "/data") + "\",\"shutdown_grace_s\":0.5}";
  }

  std::string role_;
  std::string folder_;
  std::string ip_;
  pid_t pid_ = 0;
  int status_ = -1;
};

}  // namespace cassiausher

#endif  // TESTS_MAIN_NODE_CHILD_PROCESS_H_
