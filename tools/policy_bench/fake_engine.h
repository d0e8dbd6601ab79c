// Simulated prefill and decode engines and the link between them, driven by a
// discrete-event scheduler.
#ifndef TOOLS_POLICY_BENCH_FAKE_ENGINE_H_
#define TOOLS_POLICY_BENCH_FAKE_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/time.h"
#include "tools/policy_bench/scheduler.h"
#include "tools/policy_bench/workload.h"

namespace cassiausher {

class FakePrefill;

/// One attempt of a request as the engines see it. No callback runs after the
/// attempt is cancelled.
struct EngineJob {
  int priority = 1;
  std::int64_t prompt = 0;
  /// Output tokens still to generate.
  std::int64_t output = 0;
  std::vector<std::uint64_t> prefix_hashes;
  /// Prompt tokens processed for this attempt so far.
  std::int64_t prefilled = 0;
  /// Prefill engine that exports the KV cache; null when the decode engine
  /// prefills the prompt itself.
  FakePrefill* source = nullptr;
  bool cancelled = false;
  std::function<void()> on_prefilled;
  std::function<void()> on_token;
  /// The attempt was lost: the engine crashed, or the KV cache was dropped.
  std::function<void()> on_lost;
};
using JobPtr = std::shared_ptr<EngineJob>;

/// Link that runs one transfer at a time, in FIFO order, at a fixed rate.
class FakeLink {
 public:
  /// `rate` is in bytes per second.
  FakeLink(Scheduler& scheduler, double rate)
      : scheduler_(scheduler), rate_(rate) {}
  /// `start` runs when the transfer reaches the head of the queue and returns
  /// false if there is nothing to transfer any more.
  void Transfer(JobPtr job, std::int64_t bytes, std::function<bool()> start,
                std::function<void()> done);
  /// Starts no transfer and completes none for `duration` from now.
  void Stall(Duration duration);

 private:
  struct Item {
    JobPtr job;
    std::int64_t bytes = 0;
    std::function<bool()> start;
    std::function<void()> done;
  };
  void StartNext();
  void StartFront();
  void Finish();

  Scheduler& scheduler_;
  double rate_;
  std::deque<Item> queue_;
  bool busy_ = false;
  Time stalled_until_{};
};

struct FakeCacheEvent {
  bool stored = true;
  std::uint64_t hash = 0;
};

/// Prefill engine: runs one prompt at a time in priority order, with an LRU
/// prefix cache, and retains each KV cache for export for a limited time.
class FakePrefill {
 public:
  FakePrefill(Scheduler& scheduler, const EngineModel& model)
      : scheduler_(scheduler), model_(model) {}
  void Submit(const JobPtr& job);
  void Cancel(const JobPtr& job);
  /// Releases the retained KV cache; returns false if it was already dropped.
  bool Export(const JobPtr& job);
  void Crash();
  void Restart();
  bool alive() const { return alive_; }
  std::int64_t queued_tokens() const;
  int waiting() const { return static_cast<int>(queue_.size()); }
  std::size_t retained() const { return retained_.size(); }
  std::vector<FakeCacheEvent> TakeCacheEvents() {
    return std::exchange(cache_events_, {});
  }

 private:
  void StartNext();
  void Finish(std::uint64_t run);
  /// Stops the running prompt and counts the tokens it has prefilled so far.
  void AbortRun();
  std::int64_t CachedTokens(const EngineJob& job);
  void CachePrefixes(const EngineJob& job);

  Scheduler& scheduler_;
  EngineModel model_;
  bool alive_ = true;
  /// By priority, then in order of submission.
  std::map<std::pair<int, std::uint64_t>, JobPtr> queue_;
  std::uint64_t next_sequence_ = 0;
  JobPtr running_;
  /// Number of the current run; lets Finish() ignore an aborted run.
  std::uint64_t run_ = 0;
  Time run_start_{};
  std::int64_t run_tokens_ = 0;
  std::map<JobPtr, Time> retained_;
  /// Least recently used first.
  std::list<std::uint64_t> cache_order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::vector<FakeCacheEvent> cache_events_;
};

/// Decode engine with continuous batching: a fixed number of slots, one token
/// per request and step, and chunked prefill of prompts without a KV cache.
class FakeDecode {
 public:
  FakeDecode(Scheduler& scheduler, FakeLink& link, const EngineModel& model)
      : scheduler_(scheduler), link_(link), model_(model) {}
  void Submit(const JobPtr& job);
  void Cancel(const JobPtr& job);
  void Crash();
  void Restart();
  bool alive() const { return alive_; }
  int running() const { return importing_ + static_cast<int>(batch_.size()); }
  int waiting() const { return static_cast<int>(queue_.size()); }

 private:
  void FillSlots();
  void Import(const JobPtr& job);
  void AddToBatch(const JobPtr& job);
  void StartStep();
  void FinishStep(std::uint64_t generation);

  Scheduler& scheduler_;
  FakeLink& link_;
  EngineModel model_;
  bool alive_ = true;
  /// Incremented by Crash(), so that a step begun before it is ignored.
  std::uint64_t generation_ = 0;
  /// By priority, then in order of submission.
  std::map<std::pair<int, std::uint64_t>, JobPtr> queue_;
  std::uint64_t next_sequence_ = 0;
  std::vector<JobPtr> transfers_;
  int importing_ = 0;
  std::vector<JobPtr> batch_;
  /// Requests in the current step, each with the prompt tokens it prefills.
  std::vector<std::pair<JobPtr, std::int64_t>> step_;
  bool stepping_ = false;
};

}  // namespace cassiausher

#endif  // TOOLS_POLICY_BENCH_FAKE_ENGINE_H_
