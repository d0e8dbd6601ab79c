// Simulated engines and KV-cache link.
#include "tools/policy_bench/fake_engine.h"

#include <algorithm>

namespace cassiausher {

namespace {

Duration TimeFor(std::int64_t amount, double rate) {
  return FromSeconds(static_cast<double>(amount) / rate);
}

}  // namespace

void FakeLink::Transfer(JobPtr job, std::int64_t bytes,
                        std::function<bool()> start,
                        std::function<void()> done) {
  queue_.push_back({std::move(job), bytes, std::move(start), std::move(done)});
  if (!busy_) StartNext();
}

void FakeLink::StartNext() {
  while (!queue_.empty() && queue_.front().job->cancelled) queue_.pop_front();
  if (queue_.empty()) return;
  busy_ = true;
  scheduler_.At(stalled_until_, [this] { StartFront(); });
}

void FakeLink::StartFront() {
  const Item& item = queue_.front();
  if (item.job->cancelled || !item.start()) {
    queue_.pop_front();
    busy_ = false;
    StartNext();
    return;
  }
  scheduler_.After(TimeFor(item.bytes, rate_), [this] { Finish(); });
}

void FakeLink::Finish() {
  if (scheduler_.now() < stalled_until_) {
    // A stall that starts during a transfer delays its completion.
    scheduler_.At(stalled_until_, [this] { Finish(); });
    return;
  }
  const Item item = std::move(queue_.front());
  queue_.pop_front();
  busy_ = false;
  if (!item.job->cancelled) item.done();
  if (!busy_) StartNext();
}

void FakeLink::Stall(Duration duration) {
  stalled_until_ = scheduler_.now() + duration;
}

void FakePrefill::Submit(const JobPtr& job) {
  if (!alive_) {
    scheduler_.After(Duration(0), [job] {
      if (!job->cancelled) job->on_lost();
    });
    return;
  }
  queue_[{job->priority, next_sequence_++}] = job;
  if (!running_) StartNext();
}

void FakePrefill::StartNext() {
  if (queue_.empty()) return;
  running_ = queue_.begin()->second;
  queue_.erase(queue_.begin());
  run_start_ = scheduler_.now();
  run_tokens_ =
      std::max<std::int64_t>(1, running_->prompt - CachedTokens(*running_));
  const std::uint64_t run = ++run_;
  scheduler_.After(model_.prefill_overhead +
                       TimeFor(run_tokens_, model_.prefill_tokens_per_second),
                   [this, run] { Finish(run); });
}

void FakePrefill::Finish(std::uint64_t run) {
  if (run != run_ || !running_) return;
  const JobPtr job = std::exchange(running_, nullptr);
  job->prefilled += run_tokens_;
  CachePrefixes(*job);
  retained_[job] = scheduler_.now();
  scheduler_.After(model_.kv_retention, [this, job] { retained_.erase(job); });
  job->on_prefilled();
  if (!running_) StartNext();
}

void FakePrefill::AbortRun() {
  const double seconds =
      ToSeconds(scheduler_.now() - run_start_ - model_.prefill_overhead);
  const auto done = static_cast<std::int64_t>(std::max(0.0, seconds) *
                                              model_.prefill_tokens_per_second);
  running_->prefilled += std::min(run_tokens_, done);
  running_ = nullptr;
  ++run_;
}

void FakePrefill::Cancel(const JobPtr& job) {
  retained_.erase(job);
  std::erase_if(queue_, [&](const auto& item) { return item.second == job; });
  if (running_ != job) return;
  AbortRun();
  StartNext();
}

bool FakePrefill::Export(const JobPtr& job) { return retained_.erase(job) > 0; }

void FakePrefill::Crash() {
  alive_ = false;
  std::vector<JobPtr> lost;
  for (const auto& [key, job] : queue_) lost.push_back(job);
  if (running_) {
    lost.push_back(running_);
    AbortRun();
  }
  queue_.clear();
  retained_.clear();
  cache_.clear();
  cache_order_.clear();
  for (const JobPtr& job : lost) {
    if (!job->cancelled) job->on_lost();
  }
}

void FakePrefill::Restart() { alive_ = true; }

std::int64_t FakePrefill::queued_tokens() const {
  std::int64_t sum = running_ ? run_tokens_ : 0;
  for (const auto& [key, job] : queue_) sum += job->prompt;
  return sum;
}

std::int64_t FakePrefill::CachedTokens(const EngineJob& job) {
  std::int64_t cached = 0;
  std::int64_t length = model_.chunk_tokens;
  for (const std::uint64_t hash : job.prefix_hashes) {
    const auto found = cache_.find(hash);
    if (found == cache_.end()) break;
    cache_order_.splice(cache_order_.end(), cache_order_, found->second);
    cached = length;
    length *= 2;
  }
  return cached;
}

void FakePrefill::CachePrefixes(const EngineJob& job) {
  const auto limit = static_cast<std::size_t>(model_.prefix_cache_tokens /
                                              model_.chunk_tokens);
  for (const std::uint64_t hash : job.prefix_hashes) {
    if (cache_.contains(hash)) continue;
    cache_[hash] = cache_order_.insert(cache_order_.end(), hash);
    cache_events_.push_back({true, hash});
    if (cache_.size() <= limit) continue;
    cache_events_.push_back({false, cache_order_.front()});
    cache_.erase(cache_order_.front());
    cache_order_.pop_front();
  }
}

void FakeDecode::Submit(const JobPtr& job) {
  if (!alive_) {
    scheduler_.After(Duration(0), [job] {
      if (!job->cancelled) job->on_lost();
    });
    return;
  }
  queue_[{job->priority, next_sequence_++}] = job;
  FillSlots();
}

void FakeDecode::FillSlots() {
  while (!queue_.empty() && running() < model_.slots) {
    const JobPtr job = queue_.begin()->second;
    queue_.erase(queue_.begin());
    if (job->source) {
      Import(job);
    } else {
      AddToBatch(job);
    }
  }
}

void FakeDecode::Import(const JobPtr& job) {
  ++importing_;
  transfers_.push_back(job);
  const auto start = [this, job] {
    if (job->source->Export(job)) return true;
    // The KV cache was dropped because its retention time expired.
    std::erase(transfers_, job);
    --importing_;
    scheduler_.After(Duration(0), [this, job] {
      if (!job->cancelled) job->on_lost();
      if (alive_) FillSlots();
    });
    return false;
  };
  const auto done = [this, job] {
    std::erase(transfers_, job);
    --importing_;
    AddToBatch(job);
  };
  link_.Transfer(job, job->prompt * model_.kv_bytes_per_token, start, done);
}

void FakeDecode::AddToBatch(const JobPtr& job) {
  batch_.push_back(job);
  if (!stepping_) StartStep();
}

void FakeDecode::StartStep() {
  step_.clear();
  std::int64_t budget = model_.chunk_tokens;
  int decoding = 0;
  std::int64_t chunk = 0;
  std::stable_sort(batch_.begin(), batch_.end(),
                   [](const JobPtr& a, const JobPtr& b) {
                     return a->priority < b->priority;
                   });
  for (const JobPtr& job : batch_) {
    const std::int64_t missing =
        job->source ? 0
                    : std::max<std::int64_t>(0, job->prompt - job->prefilled);
    const std::int64_t taken = std::min(missing, budget);
    budget -= taken;
    chunk += taken;
    if (taken == missing) ++decoding;
    if (taken == missing || taken > 0) step_.emplace_back(job, taken);
  }
  if (step_.empty()) return;
  stepping_ = true;
  const std::uint64_t generation = generation_;
  scheduler_.After(
      model_.Step(decoding) + TimeFor(chunk, model_.prefill_tokens_per_second),
      [this, generation] { FinishStep(generation); });
}

void FakeDecode::FinishStep(std::uint64_t generation) {
  if (generation != generation_) return;
  const auto done = std::exchange(step_, {});
  for (const auto& [job, prompt_tokens] : done) {
    if (job->cancelled) continue;
    job->prefilled += prompt_tokens;
    if (!job->source && job->prefilled < job->prompt) continue;
    --job->output;
    if (job->output == 0) std::erase(batch_, job);
    job->on_token();
    if (generation != generation_) return;
  }
  stepping_ = false;
  FillSlots();
  if (!stepping_) StartStep();
}

void FakeDecode::Cancel(const JobPtr& job) {
  std::erase_if(queue_, [&](const auto& item) { return item.second == job; });
  std::erase(batch_, job);
  // The link skips transfers of cancelled jobs.
  if (std::erase(transfers_, job) > 0) --importing_;
  if (alive_) FillSlots();
}

void FakeDecode::Crash() {
  alive_ = false;
  ++generation_;
  stepping_ = false;
  step_.clear();
  std::vector<JobPtr> lost = std::exchange(batch_, {});
  for (const auto& [key, job] : queue_) lost.push_back(job);
  for (const JobPtr& job : transfers_) lost.push_back(job);
  queue_.clear();
  transfers_.clear();
  importing_ = 0;
  for (const JobPtr& job : lost) {
    if (!job->cancelled) job->on_lost();
  }
}

void FakeDecode::Restart() { alive_ = true; }

}  // namespace cassiausher
