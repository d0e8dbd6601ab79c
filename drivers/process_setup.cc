#include "drivers/process_setup.h"

#include <fcntl.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <limits>

#include "core/log.h"

namespace cassiausher {
namespace {

// SIGXFSZ and SIGXCPU come of limits; a write beyond the limit of file sizes
// then fails like one on a full disk.
constexpr int kStraySignals[] = {SIGPIPE,   SIGXFSZ, SIGXCPU, SIGUSR1,
                                 SIGUSR2,   SIGALRM, SIGIO,   SIGVTALRM,
                                 SIGSTKFLT, SIGPROF, SIGPWR};
// GLib raises SIGTRAP for what it takes for fatal.
constexpr int kFaultSignals[] = {SIGSEGV, SIGBUS,  SIGFPE,
                                 SIGILL,  SIGABRT, SIGTRAP};

// The handler runs on it when the stack has overflowed.
constexpr std::size_t kFaultStackBytes = 64 << 10;

// Threads other than the main one write files and move messages.
constexpr std::size_t kThreadStackBytes = 1 << 20;
// glibc reserves 64 MiB for each.
constexpr int kMaxArenas = 2;

bool HasDefaultAction(int signal) {
  struct sigaction action {};
  if (sigaction(signal, nullptr, &action) != 0) return false;
  return (action.sa_flags & SA_SIGINFO) == 0 && action.sa_handler == SIG_DFL;
}

// The names that are the same on all platforms; strsignal() may allocate.
const char* SignalName(int signal) {
  switch (signal) {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGFPE:
      return "SIGFPE";
    case SIGILL:
      return "SIGILL";
    case SIGTRAP:
      return "SIGTRAP";
    default:
      return "SIGABRT";
  }
}

void OnFault(int signal) {
  LogLastLine("process_faulted", "signal", SignalName(signal));
  // The handler is used once only, so that the default action follows.
  raise(signal);
}

void OnTerminate() {
  const std::exception_ptr current = std::current_exception();
  if (current == nullptr) {
    LogLastLine("process_faulted", "reason", "terminated without an exception");
    std::abort();
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& error) {
    LogLastLine("process_faulted", "exception", error.what());
  } catch (...) {
    LogLastLine("process_faulted", "exception", "of an unknown type");
  }
  std::abort();
}

std::atomic<int> redirected_to = 0;

}  // namespace

void OpenStandardDescriptors() {
  for (int descriptor = 0; descriptor <= STDERR_FILENO; ++descriptor) {
    if (fcntl(descriptor, F_GETFD) >= 0) continue;
    // The lowest free number, thus this one.
    if (open("/dev/null", O_RDWR) < 0) return;
  }
}

void IgnoreStraySignals() {
  for (const int signal : kStraySignals) {
    if (HasDefaultAction(signal)) std::signal(signal, SIG_IGN);
  }
  for (int signal = SIGRTMIN; signal <= SIGRTMAX; ++signal) {
    if (HasDefaultAction(signal)) std::signal(signal, SIG_IGN);
  }
}

void RedirectSignal(int from, int to) {
  redirected_to = to;
  std::signal(from, [](int) { kill(getpid(), redirected_to); });
}

void LogFaults() {
  std::set_terminate(&OnTerminate);
  static std::array<char, kFaultStackBytes> stack;
  const stack_t fault_stack{
      .ss_sp = stack.data(), .ss_flags = 0, .ss_size = stack.size()};
  sigaltstack(&fault_stack, nullptr);
  for (const int signal : kFaultSignals) {
    if (!HasDefaultAction(signal)) continue;
    struct sigaction action {};
    action.sa_handler = &OnFault;
    action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    sigaction(signal, &action, nullptr);
  }
}

void LimitThreadMemory() {
  mallopt(M_ARENA_MAX, kMaxArenas);
  pthread_attr_t attributes;
  if (pthread_attr_init(&attributes) != 0) return;
  if (pthread_attr_setstacksize(&attributes, kThreadStackBytes) == 0) {
    pthread_setattr_default_np(&attributes);
  }
  pthread_attr_destroy(&attributes);
}

void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int DescriptorLimit() {
  constexpr rlim_t kMost = std::numeric_limits<int>::max();
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return static_cast<int>(kMost);
  return static_cast<int>(std::min(limit.rlim_cur, kMost));
}

int MaxForwardedDescriptor() { return DescriptorLimit() / 2; }

int MaxServedDescriptor() {
  const int limit = DescriptorLimit();
  return limit - limit / 8;
}

}  // namespace cassiausher
