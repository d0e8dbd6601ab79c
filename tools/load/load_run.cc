#include "tools/load/load_run.h"

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <thread>

namespace cassiausher {
namespace {

using nlohmann::json;

constexpr int kHistoryVersion = 1;

volatile std::sig_atomic_t interrupted = 0;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

json FetchState(SoupSession* session, const Target& endpoint) {
  json state = {{"name", endpoint.name}, {"unreachable", true}};
  SoupMessage* message =
      soup_message_new("GET", (endpoint.url + "/fake/state").c_str());
  if (message == nullptr) return state;
  GBytes* answer =
      soup_session_send_and_read(session, message, nullptr, nullptr);
  g_object_unref(message);
  if (answer == nullptr) return state;
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(answer, &size));
  json parsed = json::parse(data, data + size, nullptr, false);
  g_bytes_unref(answer);
  return parsed.is_object() ? parsed : state;
}

void RecordStates(const std::vector<Target>& endpoints,
                  std::int64_t last_caller_end_ms, HistoryWriter& history) {
  constexpr guint kTimeoutSeconds = 5;
  SoupSession* session = soup_session_new();
  soup_session_set_proxy_resolver(session, nullptr);
  soup_session_set_timeout(session, kTimeoutSeconds);
  const std::int64_t after_ms = UnixMilliseconds() - last_caller_end_ms;
  for (const Target& endpoint : endpoints) {
    history.Add(json({{"type", "state"},
                      {"after_ms", after_ms},
                      {"state", FetchState(session, endpoint)}})
                    .dump());
  }
  g_object_unref(session);
}

void RecordFaults(const std::string& path, HistoryWriter& history) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    json fault = json::parse(line, nullptr, false);
    if (!fault.is_object()) continue;
    fault["type"] = "fault";
    history.Add(fault.dump());
  }
}

void ShowProgress(const LoadProgress& progress, std::int64_t started_us) {
  fmt::print(stderr, "\r{:6.0f} s  offered {:9}  open {:6}  answered {:9} ",
             ToSeconds(Duration(Timers::Now() - started_us)),
             progress.offered.load(), progress.open.load(),
             progress.answered.load());
}

void RunWorkers(const LoadPlan& plan, bool show_progress,
                HistoryWriter& history, LoadTotals* totals) {
  constexpr auto kPollPeriod = std::chrono::milliseconds(100);
  LoadProgress progress;
  std::atomic<std::int64_t> running{plan.workers};
  std::vector<std::unique_ptr<LoadWorker>> workers;
  std::vector<std::thread> threads;
  for (std::int64_t i = 0; i < plan.workers; ++i) {
    workers.push_back(std::make_unique<LoadWorker>(plan, i, history, progress));
  }
  for (const auto& worker : workers) {
    threads.emplace_back([&running, &worker] {
      worker->Run();
      --running;
    });
  }
  while (running > 0) {
    std::this_thread::sleep_for(kPollPeriod);
    if (interrupted != 0) progress.interrupted = true;
    if (show_progress) ShowProgress(progress, plan.started_us);
  }
  if (show_progress) fmt::print(stderr, "\n");
  for (std::thread& thread : threads) thread.join();
  for (const auto& worker : workers) totals->Merge(worker->totals());
}

}  // namespace

RunResult RunLoad(RunOptions options) {
  RunResult result;
  HistoryWriter history;
  if (!history.Open(options.history_path)) {
    result.failure = options.history_path + ": can't be written";
    return result;
  }
  std::signal(SIGINT, [](int) { interrupted = 1; });
  LoadPlan& plan = options.plan;
  const std::int64_t started_ms = UnixMilliseconds();
  plan.started_us = Timers::Now();
  plan.run_name = fmt::format("{}-{}", plan.workload.seed, started_ms);
  history.Add(json({{"type", "header"},
                    {"version", kHistoryVersion},
                    {"seed", plan.workload.seed},
                    {"started_unix_ms", started_ms}})
                  .dump());
  RunWorkers(plan, options.show_progress, history, &result.totals);
  if (!options.history_path.empty()) {
    const std::int64_t last_caller_end_ms = UnixMilliseconds();
    std::this_thread::sleep_for(std::chrono::milliseconds(options.settle_ms));
    RecordStates(options.endpoints, last_caller_end_ms, history);
    RecordFaults(options.faults_path, history);
  }
  history.Add(
      json({{"type", "footer"}, {"ended_unix_ms", UnixMilliseconds()}}).dump());
  if (!history.Close()) {
    result.failure = options.history_path + ": a write failed";
  }
  return result;
}

}  // namespace cassiausher
