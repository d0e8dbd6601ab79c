// One thread that simulates callers.
#ifndef TOOLS_LOAD_LOAD_WORKER_H_
#define TOOLS_LOAD_LOAD_WORKER_H_

#include <libsoup/soup.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "tools/fake_endpoint/timers.h"
#include "tools/load/history.h"
#include "tools/load/load_totals.h"
#include "tools/load/workload.h"

namespace cassiausher {

/// Configuration shared by all workers; constant during the run.
struct LoadPlan {
  Workload workload;
  std::vector<Target> targets;
  std::string token;
  /// Path prefix before the name of a plain service. Empty when a fake endpoint
  /// is called directly.
  std::string plain_prefix;
  std::string run_name;
  /// Total requests per second; 0 means that each caller sends its next request
  /// when the previous one has ended.
  double rate = 0;
  double seconds = 10;
  /// 0 means no limit.
  std::int64_t requests = 0;
  std::int64_t concurrency = 100;
  std::int64_t timeout_ms = 60'000;
  std::int64_t workers = 1;
  /// g_get_monotonic_time() at the start.
  std::int64_t started_us = 0;
};

/// Counters for the progress line; thread-safe.
struct LoadProgress {
  std::atomic<std::int64_t> offered{0};
  std::atomic<std::int64_t> open{0};
  std::atomic<std::int64_t> answered{0};
  std::atomic<bool> interrupted{false};
};

/// Runs its share of the plan on the calling thread.
class LoadWorker {
 public:
  LoadWorker(const LoadPlan& plan, std::int64_t index, HistoryWriter& history,
             LoadProgress& progress);
  ~LoadWorker();
  LoadWorker(const LoadWorker&) = delete;
  LoadWorker& operator=(const LoadWorker&) = delete;

  /// Returns when the last request has ended.
  void Run();
  const LoadTotals& totals() const { return totals_; }

 private:
  struct Request;
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  std::int64_t Elapsed() const;
  bool Ended() const;
  /// Wakes the main loop periodically, so that Run() checks whether the run has
  /// ended.
  void ScheduleWakeup();
  void OnArrival();
  void StartRequest();
  void StartAttempt(const std::shared_ptr<Request>& request);
  void SetTimers(const ExchangePtr& exchange);
  void Close(const ExchangePtr& exchange, Outcome outcome);
  static void OnHeaders(GObject* source, GAsyncResult* result, gpointer data);
  void Read(const ExchangePtr& exchange);
  static void OnBodyData(GObject* source, GAsyncResult* result, gpointer data);
  void OnEvent(Exchange& exchange, std::string_view data);
  void OnText(Exchange& exchange, std::string_view text);
  void OnEndOfBody(const ExchangePtr& exchange);
  void OnConnectionError(const ExchangePtr& exchange, GError* error);
  void ParseWholeAnswer(Exchange& exchange);
  void ParseError(const nlohmann::json& error, Exchange& exchange);
  void End(const ExchangePtr& exchange, Outcome outcome);
  void UpdateTotals(Exchange& exchange);
  void AfterAttempt(const std::shared_ptr<Request>& request, Outcome outcome);

  const LoadPlan& plan_;
  HistoryWriter& history_;
  LoadProgress& progress_;
  Random random_;
  GMainContext* context_;
  std::unique_ptr<Timers> timers_;
  std::vector<SoupSession*> sessions_;
  std::size_t next_session_ = 0;
  std::int64_t next_number_;
  std::int64_t next_arrival_us_ = 0;
  std::int64_t requests_left_;
  std::int64_t concurrency_;
  std::int64_t open_requests_ = 0;
  /// Arrivals waiting for a free caller.
  std::int64_t waiting_arrivals_ = 0;
  LoadTotals totals_;
};

}  // namespace cassiausher

#endif  // TOOLS_LOAD_LOAD_WORKER_H_
