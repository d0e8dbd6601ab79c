// Guards against tasks that report every answer as sent although they have read
// a request since, and against tasks that end before its answer is sent.
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/metrics.h"
#include "core/settings.h"
#include "drivers/clock.h"
#include "main/daemon/admin_task.h"
#include "main/daemon/register_modules.h"
#include "main/daemon/serving_task.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr Duration kTimeout = Seconds(8);
// A task that is to end at its deadline has this much time for it.
constexpr Duration kEndTolerance = Seconds(1);
constexpr std::string_view kHealth = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view kModels =
    "GET /v1/models HTTP/1.1\r\nHost: a\r\n"
    "Authorization: Bearer secret\r\n\r\n";
constexpr std::string_view kMetrics =
    "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
// The flags are set every 20 ms; without an update each check of this many
// would have to fall on such a time.
constexpr int kCallers = 6;
// More than the buffers of a connection hold.
constexpr std::size_t kLargeBytes = 6 << 20;
constexpr std::size_t kNameBytes = 1000;

// Reads only when told to, through a small window.
class Caller {
 public:
  explicit Caller(std::uint16_t port)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int buffer_bytes = 4096;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    const timeval timeout{.tv_sec = 8, .tv_usec = 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(socket_, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address));
  }
  ~Caller() { close(socket_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Send(std::string_view bytes) const {
    LONGS_EQUAL(bytes.size(),
                send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }

  // Reads once. Returns false at the end of the connection.
  bool Read() {
    std::array<char, 64 << 10> buffer;
    const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
    if (size <= 0) return false;
    received.append(buffer.data(), static_cast<std::size_t>(size));
    return true;
  }

  void ReadUntil(std::string_view text) {
    while (received.find(text) == std::string::npos) CHECK(Read());
  }

  std::string received;

 private:
  int socket_;
};

bool WaitUntil(const std::function<bool()>& condition) {
  const Time deadline = MonotonicNow() + kTimeout;
  while (!condition()) {
    if (MonotonicNow() >= deadline) return false;
    std::this_thread::sleep_for(Milliseconds(1));
  }
  return true;
}

std::string RequestWithLargeHeaders() {
  return "GET /healthz HTTP/1.1\r\nHost: a\r\nX-Large: " +
         std::string(40 << 10, 'x') + "\r\n\r\n";
}

}  // namespace

TEST_GROUP(TaskDrain) {
  Settings settings;
  Metrics metrics;
  EndpointDriverRegistry drivers;
  std::unique_ptr<EndpointDriver> driver;
  std::unique_ptr<ServingTask> serving;
  std::unique_ptr<AdminTask> admin;
  std::vector<std::unique_ptr<Caller>> callers;

  void setup() override {
    settings.instance = InstanceId("a");
    settings.listen.caller.ip = "127.0.0.1";
    settings.listen.admin.ip = "127.0.0.1";
    settings.keys.callers = {{"shop", Sha256Hex("secret"), ""}};
    RegisterEndpointDrivers(drivers);
    driver = drivers.Create("openai");
    const auto ignore = [](const ControlMessage&) {};
    serving = std::make_unique<ServingTask>(0, settings, metrics, *driver,
                                            ignore, Incarnation(1));
    admin = std::make_unique<AdminTask>(settings, metrics, ignore);
    serving->Start();
    admin->Start();
  }

  void teardown() override {
    callers.clear();
    admin.reset();
    serving.reset();
  }

  // Opens connections that their callers keep.
  void Connect(std::uint16_t port) {
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<Caller>(port));
      callers.back()->Send(kHealth);
      callers.back()->ReadUntil("ok\n");
      callers.back()->received.clear();
    }
  }

  // The last answer on a connection isn't over until its caller has closed its
  // side, so the report can't be true again when it is checked.
  template <typename TaskType>
  void CheckEachRequestIsSeen(const TaskType& task) {
    for (std::unique_ptr<Caller>& caller : callers) {
      CHECK(WaitUntil([&] { return task.drained(); }));
      const bool refused_early = caller == callers.back();
      caller->Send(refused_early ? RequestWithLargeHeaders() : kHealth);
      caller->ReadUntil(refused_early ? "HTTP/1.1 431" : "ok\n");
      CHECK_FALSE(task.drained());
      caller.reset();
    }
    CHECK(WaitUntil([&] { return task.drained(); }));
  }

  // Sends `request` after the task's last report, ends the task, and reads the
  // answer to its end. Returns the bytes of the body, which must be whole.
  template <typename TaskType>
  std::size_t BytesReceivedWhileEnding(TaskType & task,
                                       std::string_view request) {
    CHECK(WaitUntil([&] { return task.drained(); }));
    Caller& caller = *callers.front();
    caller.Send(request);
    caller.ReadUntil("HTTP/1.1 200");
    task.Post(EndOrdered{MonotonicNow() + kTimeout});
    std::thread stopping([&] { task.Stop(); });
    while (caller.Read()) {
    }
    stopping.join();
    return CheckWhole(caller.received);
  }

  static std::size_t CheckWhole(const std::string& answer) {
    const std::string name = "Content-Length: ";
    const std::size_t length_at = answer.find(name);
    CHECK(length_at != std::string::npos);
    const std::size_t body_at = answer.find("\r\n\r\n") + 4;
    const std::size_t length =
        std::stoul(answer.substr(length_at + name.size()));
    LONGS_EQUAL(length, answer.size() - body_at);
    return length;
  }

  // An answer whose caller reads nothing more doesn't delay the end.
  template <typename TaskType>
  void CheckEndsAtItsDeadline(TaskType & task, std::string_view request) {
    Caller& caller = *callers.front();
    caller.Send(request);
    caller.ReadUntil("HTTP/1.1 200");
    const Time began = MonotonicNow();
    task.Post(EndOrdered{began + Milliseconds(100)});
    task.Stop();
    CHECK(MonotonicNow() - began >= Milliseconds(100));
    CHECK(MonotonicNow() - began < Milliseconds(100) + kEndTolerance);
  }

  void MakeModelsLarge() const {
    const auto configuration = std::make_shared<Configuration>();
    for (std::size_t i = 0; i * kNameBytes < kLargeBytes; ++i) {
      const std::string name = std::to_string(i) + std::string(kNameBytes, 'x');
      configuration->services[ServiceId(name)].kind = ServiceKind::kRunner;
    }
    serving->Post(ConfigurationUpdated{configuration});
  }

  void MakeMetricsLarge() {
    for (std::size_t i = 0; i * kNameBytes < kLargeBytes; ++i) {
      metrics.counter("m" + std::to_string(i) + std::string(kNameBytes, 'x'));
    }
  }
};

TEST(TaskDrain, ServingTaskIsNotDrainedOnceItHasReadARequest) {
  Connect(serving->port());
  serving->Post(ShutdownRequested{});
  CheckEachRequestIsSeen(*serving);
}

TEST(TaskDrain, AdminTaskIsNotDrainedOnceItHasReadARequest) {
  Connect(admin->port());
  admin->Post(DrainRequested{});
  admin->Post(StopRequested{});
  CheckEachRequestIsSeen(*admin);
}

// A process ended by its last report, whatever its tasks read until they ended.
TEST(TaskDrain, ServingTaskSendsTheAnswerToARequestReadBeforeItsEnd) {
  MakeModelsLarge();
  Connect(serving->port());
  serving->Post(ShutdownRequested{});
  CHECK(BytesReceivedWhileEnding(*serving, kModels) > kLargeBytes);
}

TEST(TaskDrain, AdminTaskSendsTheAnswerToARequestReadBeforeItsEnd) {
  MakeMetricsLarge();
  Connect(admin->port());
  admin->Post(DrainRequested{});
  admin->Post(StopRequested{});
  CHECK(BytesReceivedWhileEnding(*admin, kMetrics) > kLargeBytes);
}

TEST(TaskDrain, ServingTaskEndsAtItsDeadline) {
  MakeModelsLarge();
  Connect(serving->port());
  serving->Post(ShutdownRequested{});
  CheckEndsAtItsDeadline(*serving, kModels);
}

TEST(TaskDrain, AdminTaskEndsAtItsDeadline) {
  MakeMetricsLarge();
  Connect(admin->port());
  admin->Post(DrainRequested{});
  admin->Post(StopRequested{});
  CheckEndsAtItsDeadline(*admin, kMetrics);
}
