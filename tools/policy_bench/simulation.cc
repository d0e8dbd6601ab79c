// Simulates entry instances, callers and faults around the routing policies
// that the daemon runs.
#include "tools/policy_bench/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cassiausher {

namespace {

/// Requests that arrive during the warm-up are left out of the results, since
/// the pools start empty.
constexpr Duration kWarmUp = Seconds(15);
/// One-way network delays within a data centre and between two of them.
constexpr Duration kLocalHop = Duration(200);
constexpr Duration kCrossDataCentreHop = Milliseconds(1);
constexpr Duration kAnnounceInterval = Seconds(1);
constexpr Duration kSummaryInterval = Milliseconds(250);
/// Time from the crash of a runner to its removal by the owner and to its
/// restart.
constexpr Duration kRemovalDelay = Seconds(3);
constexpr Duration kRestartDelay = Seconds(10);
constexpr int kMaxAttempts = 4;
/// A caller cancels if it has no first token after this many times the target.
constexpr int kCallerTimeoutInTargets = 3;
/// A request misses its target if a larger share of its token gaps is too long.
constexpr double kMaxLateGapShare = 0.05;
constexpr double kCacheEventLossRate = 0.1;

constexpr Duration kDecodeDeathInterval = Seconds(60);
constexpr Duration kPrefillDeathInterval = Seconds(30);
constexpr Duration kLinkStallInterval = Seconds(20);
constexpr Duration kLinkStallDuration = Seconds(1);
constexpr Duration kCancelStormInterval = Seconds(10);
constexpr double kCancelStormShare = 0.25;

}  // namespace

struct Simulation::Runner {
  EndpointInfo info;
  Pool* pool = nullptr;
  std::unique_ptr<FakePrefill> prefill;
  std::unique_ptr<FakeDecode> decode;
  /// The pool's owner has removed the endpoint as dead.
  bool removed = false;
  std::uint64_t report_sequence = 0;
  std::uint64_t cache_sequence = 0;
  /// Requests granted to the current incarnation of this decode engine that
  /// have not ended.
  std::set<RequestId> granted;

  bool alive() const { return prefill ? prefill->alive() : decode->alive(); }
};

struct Simulation::Pool {
  int data_centre = 0;
  int service = 0;
  std::unique_ptr<RoutingPolicy> policy;
  Time tick_at = Time::max();
  int queued = 0;
  /// Free slots minus queued requests, as last published to the other owners.
  int summary = 0;
};

struct Simulation::ActiveRequest {
  RequestId id;
  Arrival arrival;
  ClassTargets targets;
  Pool* pool = nullptr;
  /// Admit calls without a decision yet, 0 or 1.
  int pending_admits = 0;
  /// The pool's owner keeps state for the request.
  bool tracked_by_owner = false;
  int attempt = 0;
  std::set<int> visited;
  std::vector<EndpointId> avoid;
  std::vector<JobPtr> jobs;
  /// Jobs that have generated at least one token.
  std::set<JobPtr> jobs_with_tokens;
  Grant grant;
  std::int64_t delivered = 0;
  bool done = false;
  bool answered = false;
  bool cancelled_by_fault = false;
  /// The caller cancelled because it got no first token in time.
  bool abandoned = false;
  bool prefill_done = false;
  Time first_token{};
  Time last_token{};
  std::int64_t gaps = 0;
  std::int64_t late_gaps = 0;
};

Simulation::Simulation(const BenchOptions& options,
                       const RoutingPolicyRegistry& registry)
    : options_(options), random_(options.seed * 7919 + 13) {
  result_.classes.resize(2);
  result_.classes[0].name = "short";
  result_.classes[1].name = "long";
  BuildPools(registry);
}

Simulation::~Simulation() = default;

ClassTargets Simulation::Targets(RequestKind kind) const {
  if (kind == RequestKind::kShort)
    return {ClassId("short"), 0, Milliseconds(500), Milliseconds(42)};
  return {ClassId("long"), 1, Milliseconds(860), Milliseconds(42)};
}

void Simulation::BuildPools(const RoutingPolicyRegistry& registry) {
  const DeploymentModel& model = options_.deployment;
  for (int dc = 0; dc < model.data_centres; ++dc) {
    for (std::size_t service = 0; service < model.services.size(); ++service) {
      // Each pool has a fixed share of its data centre's link.
      links_.push_back(std::make_unique<FakeLink>(
          scheduler_, model.engine.link_bytes_per_second));
      RoutingOptions options;
      options.classes = {Targets(RequestKind::kShort),
                         Targets(RequestKind::kLong)};
      options.link_bytes_per_second = model.engine.link_bytes_per_second;
      options.kv_retention = model.engine.kv_retention;
      options.prefill_thrift = model.prefill_thrift;
      options.seed = options_.seed;
      auto pool = std::make_unique<Pool>();
      pool->data_centre = dc;
      pool->service = static_cast<int>(service);
      pool->policy = registry.Create(options_.policy, options);
      const ServiceModel& shape = model.services[service];
      for (int i = 0; i < shape.prefill_runners; ++i)
        AddRunner(*pool, EndpointRole::kPrefill, i);
      for (int i = 0; i < shape.decode_runners; ++i)
        AddRunner(*pool, EndpointRole::kDecode, i);
      pools_.push_back(std::move(pool));
    }
  }
}

void Simulation::AddRunner(Pool& pool, EndpointRole role, int number) {
  const EngineModel& engine = options_.deployment.engine;
  auto runner = std::make_unique<Runner>();
  const bool prefill = role == EndpointRole::kPrefill;
  EndpointInfo& info = runner->info;
  info.id = EndpointId(fmt::format("dc{}-s{}-{}{}", pool.data_centre,
                                   pool.service, prefill ? "p" : "d", number));
  info.service = ServiceId(
      options_.deployment.services[static_cast<std::size_t>(pool.service)]
          .name);
  info.role = role;
  info.url = "http://" + info.id.value();
  info.slots = engine.slots;
  info.kv_capacity = Bytes(engine.kv_capacity_bytes);
  info.kv_bytes_per_token = Bytes(engine.kv_bytes_per_token);
  info.prefill_tokens_per_second = engine.prefill_tokens_per_second;
  info.incarnation = Incarnation(1);
  runner->pool = &pool;
  if (prefill) {
    runner->prefill = std::make_unique<FakePrefill>(scheduler_, engine);
  } else {
    runner->decode =
        std::make_unique<FakeDecode>(scheduler_, *links_.back(), engine);
  }
  by_id_[info.id] = runner.get();
  pool.policy->UpsertEndpoint(info, scheduler_.now());
  Runner* added = runner.get();
  const auto phase = static_cast<std::int64_t>(random_.Below(1'000'000));
  scheduler_.After(Duration(phase), [this, added] { Announce(*added); });
  runners_.push_back(std::move(runner));
}

template <typename Call>
void Simulation::Decide(Pool& pool, bool admission, Call call) {
  const auto start = std::chrono::steady_clock::now();
  call(*pool.policy);
  const std::vector<RouteOutput> outputs = pool.policy->TakeOutputs();
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
  if (admission || !outputs.empty())
    result_.decision_us.push_back(taken.count());
  for (const RouteOutput& output : outputs) HandleOutput(pool, output);
  ScheduleTick(pool);
}

void Simulation::ScheduleTick(Pool& pool) {
  const Time due = pool.policy->NextWakeup();
  if (due >= pool.tick_at) return;
  pool.tick_at = due;
  scheduler_.At(due, [this, &pool, due] {
    if (pool.tick_at != due) return;
    pool.tick_at = Time::max();
    Decide(pool, false,
           [this](RoutingPolicy& policy) { policy.Tick(scheduler_.now()); });
  });
}

void Simulation::HandleOutput(Pool& pool, const RouteOutput& output) {
  const auto take_pending = [&](const RequestId& id) -> ActiveRequestPtr {
    const auto found = active_.find(id);
    // The caller may have cancelled before the decision was made.
    if (found == active_.end()) return nullptr;
    const ActiveRequestPtr active = found->second;
    if (active->pool != &pool || active->pending_admits != 1)
      RecordViolation("admission decision without a pending Admit call");
    --active->pending_admits;
    --pool.queued;
    return active;
  };
  if (const auto* grant = std::get_if<Grant>(&output)) {
    const ActiveRequestPtr active = take_pending(grant->request);
    if (!active) return;
    Runner& decode = *by_id_.at(grant->decode);
    if (decode.removed)
      RecordViolation("grant to an endpoint that was removed as dead");
    decode.granted.insert(grant->request);
    const bool reserves_slots = options_.policy == "reserving";
    if (reserves_slots &&
        static_cast<int>(decode.granted.size()) > decode.info.slots)
      RecordViolation("slots over-committed");
    scheduler_.After(HopTo(*active), [this, active, grant = *grant] {
      OnGrant(active, grant);
    });
  } else if (const auto* refusal = std::get_if<RouteRefusal>(&output)) {
    const ActiveRequestPtr active = take_pending(refusal->request);
    if (!active) return;
    active->tracked_by_owner = false;
    scheduler_.After(HopTo(*active), [this, active, refusal = *refusal] {
      OnRefusal(active, refusal);
    });
  }
}

Duration Simulation::HopTo(const ActiveRequest& active) const {
  return active.pool->data_centre == active.arrival.data_centre
             ? kLocalHop
             : kCrossDataCentreHop;
}

template <typename Call>
void Simulation::SendToOwner(const ActiveRequestPtr& active, Call call) {
  Pool* pool = active->pool;
  scheduler_.After(HopTo(*active),
                   [this, pool, call] { Decide(*pool, false, call); });
}

void Simulation::OnArrival(const Arrival& arrival) {
  auto active = std::make_shared<ActiveRequest>();
  active->id = RequestId(fmt::format("request-{}", next_request_++));
  active->arrival = arrival;
  active->targets = Targets(arrival.kind);
  active_[active->id] = active;
  const std::size_t services = options_.deployment.services.size();
  active->pool =
      pools_[static_cast<std::size_t>(arrival.data_centre) * services +
             static_cast<std::size_t>(arrival.service)]
          .get();
  SendAdmit(active);
  scheduler_.After(kCallerTimeoutInTargets * active->targets.first_token,
                   [this, active] {
                     if (active->delivered == 0) CallerCancels(active, false);
                   });
}

void Simulation::SendAdmit(const ActiveRequestPtr& active) {
  RouteRequest request;
  request.id = active->id;
  request.entry =
      InstanceId(fmt::format("entry-{}", active->arrival.data_centre));
  request.service =
      ServiceId(options_.deployment
                    .services[static_cast<std::size_t>(active->arrival.service)]
                    .name);
  request.class_id = active->targets.id;
  request.account =
      AccountId(fmt::format("account-{}", active->arrival.account));
  request.arrived = active->arrival.time;
  request.prompt_tokens = Tokens(active->arrival.prompt);
  request.max_output_tokens = Tokens(1024);
  request.prefix_hashes = active->arrival.prefix_hashes;
  request.attempt = active->attempt;
  request.delivered_tokens = Tokens(active->delivered);
  request.avoid = active->avoid;
  active->visited.insert(active->pool->data_centre);
  const Pool* other = NextPool(*active);
  request.may_forward = other && other->summary > 0;
  active->tracked_by_owner = true;
  ++active->pending_admits;
  ++active->pool->queued;
  Pool* pool = active->pool;
  scheduler_.After(HopTo(*active), [this, pool, active, request] {
    if (active->done) return;
    Decide(*pool, true, [&](RoutingPolicy& policy) {
      policy.Admit(request, scheduler_.now());
    });
  });
}

Simulation::Pool* Simulation::NextPool(const ActiveRequest& active) const {
  Pool* best = nullptr;
  for (const auto& pool : pools_) {
    if (pool->service != active.arrival.service) continue;
    if (active.visited.contains(pool->data_centre)) continue;
    if (!best || pool->summary > best->summary) best = pool.get();
  }
  return best;
}

void Simulation::OnRefusal(const ActiveRequestPtr& active,
                           const RouteRefusal& refusal) {
  if (active->done) return;
  Pool* best = NextPool(*active);
  const bool retries_spent = refusal.reason == RefusalReason::kRetriesSpent;
  if (best && !retries_spent) {
    active->pool = best;
    SendAdmit(active);
    return;
  }
  if (active->attempt == 0) {
    if (active->arrival.time >= measure_from_) ++result_.refused_not_run;
  }
  End(active);
}

void Simulation::OnGrant(const ActiveRequestPtr& active, const Grant& grant) {
  if (active->done) return;
  active->grant = grant;
  auto job = std::make_shared<EngineJob>();
  job->priority = grant.priority;
  job->prompt = active->arrival.prompt + active->delivered;
  job->output = active->arrival.output - active->delivered;
  job->prefix_hashes = active->arrival.prefix_hashes;
  active->jobs.push_back(job);
  active->prefill_done = false;
  const EndpointId first = grant.prefill.empty() ? grant.decode : grant.prefill;
  job->on_prefilled = [this, active, job] { OnPrefilled(active, job); };
  job->on_token = [this, active, job] { OnToken(active, job); };
  job->on_lost = [this, active, job] {
    Fail(active, job,
         active->prefill_done
             ? active->grant.decode
             : (active->grant.prefill.empty() ? active->grant.decode
                                              : active->grant.prefill));
  };
  Runner& runner = *by_id_.at(first);
  if (runner.prefill) {
    job->source = runner.prefill.get();
    runner.prefill->Submit(job);
  } else {
    runner.decode->Submit(job);
  }
  const Duration limit =
      grant.prefill_timeout +
      (grant.prefill.empty() ? grant.first_token_timeout : Duration(0));
  scheduler_.After(limit, [this, active, job, first] {
    if (!job->cancelled && !active->prefill_done &&
        !active->jobs_with_tokens.contains(job))
      Fail(active, job, first);
  });
}

void Simulation::OnPrefilled(const ActiveRequestPtr& active,
                             const JobPtr& job) {
  if (job->cancelled) return;
  active->prefill_done = true;
  SendToOwner(active, [this, id = active->id](RoutingPolicy& policy) {
    policy.OnPrefillFinished(id, scheduler_.now());
  });
  const EndpointId decode = active->grant.decode;
  scheduler_.After(kLocalHop, [this, job, decode] {
    if (!job->cancelled) by_id_.at(decode)->decode->Submit(job);
  });
  scheduler_.After(
      active->grant.first_token_timeout, [this, active, job, decode] {
        if (!job->cancelled && !active->jobs_with_tokens.contains(job))
          Fail(active, job, decode);
      });
}

void Simulation::OnToken(const ActiveRequestPtr& active, const JobPtr& job) {
  if (active->done) {
    RecordViolation("token after the end of the request");
    return;
  }
  const Time now = scheduler_.now();
  const bool measured = active->arrival.time >= measure_from_;
  const std::size_t kind = active->arrival.kind == RequestKind::kLong ? 1 : 0;
  if (active->jobs_with_tokens.insert(job).second) {
    SendToOwner(active, [this, id = active->id](RoutingPolicy& policy) {
      policy.OnFirstToken(id, scheduler_.now());
    });
  }
  if (active->delivered == 0) {
    active->first_token = now + kLocalHop;
  } else {
    const Duration gap = now - active->last_token;
    ++active->gaps;
    if (gap > active->targets.between_tokens) ++active->late_gaps;
    const auto tenths = static_cast<std::size_t>(gap.count() / 100);
    if (measured)
      ++result_.classes[kind].gaps[std::min<std::size_t>(tenths, 10000)];
  }
  active->last_token = now;
  ++active->delivered;
  if (job->output > 0) return;
  if (active->delivered != active->arrival.output)
    RecordViolation("response has the wrong number of tokens");
  active->answered = true;
  SendToOwner(active,
              [this, id = active->id,
               tokens = Tokens(active->delivered)](RoutingPolicy& policy) {
                policy.OnFinished(id, tokens, scheduler_.now());
              });
  by_id_.at(active->grant.decode)->granted.erase(active->id);
  active->tracked_by_owner = false;
  End(active);
}

void Simulation::CancelAtEngines(const ActiveRequestPtr& active,
                                 const JobPtr& job) {
  job->cancelled = true;
  if (job->source) job->source->Cancel(job);
  Runner& decode = *by_id_.at(active->grant.decode);
  decode.decode->Cancel(job);
  decode.granted.erase(active->id);
}

void Simulation::Fail(const ActiveRequestPtr& active, const JobPtr& job,
                      const EndpointId& endpoint) {
  if (job->cancelled || active->done) return;
  CancelAtEngines(active, job);
  SendToOwner(active, [this, id = active->id, endpoint](RoutingPolicy& policy) {
    policy.OnFailed(id, endpoint, scheduler_.now());
  });
  active->tracked_by_owner = false;
  ++active->attempt;
  if (active->attempt >= kMaxAttempts) {
    End(active);
    return;
  }
  active->avoid.push_back(endpoint);
  active->visited.clear();
  SendAdmit(active);
}

void Simulation::CallerCancels(const ActiveRequestPtr& active, bool by_fault) {
  if (active->done) return;
  active->cancelled_by_fault = by_fault;
  active->abandoned = !by_fault;
  if (!active->jobs.empty() && !active->jobs.back()->cancelled)
    CancelAtEngines(active, active->jobs.back());
  for (const auto& runner : runners_) runner->granted.erase(active->id);
  active->pool->queued -= active->pending_admits;
  active->pending_admits = 0;
  if (active->tracked_by_owner) {
    SendToOwner(active, [this, id = active->id](RoutingPolicy& policy) {
      policy.OnCancelled(id, scheduler_.now());
    });
  }
  End(active);
}

void Simulation::End(const ActiveRequestPtr& active) {
  active->done = true;
  RecordResult(*active);
  active_.erase(active->id);
  // The callbacks hold references to the request. One of them may be running
  // now, so a separate event clears them.
  scheduler_.After(Duration(0), [active] {
    for (const JobPtr& job : active->jobs) {
      job->cancelled = true;
      job->on_prefilled = nullptr;
      job->on_token = nullptr;
      job->on_lost = nullptr;
    }
  });
}

void Simulation::RecordResult(const ActiveRequest& active) {
  if (active.arrival.time < measure_from_) return;
  for (const JobPtr& job : active.jobs) {
    result_.prefilled_tokens += job->prefilled;
    const bool useful =
        active.answered && active.jobs_with_tokens.contains(job);
    if (useful) continue;
    result_.wasted_tokens += job->prefilled;
    const bool done =
        job == active.jobs.back() &&
        (active.prefill_done || active.jobs_with_tokens.contains(job));
    if (active.cancelled_by_fault && done)
      result_.cancelled_after_prefill_tokens += job->prefilled;
  }
  if (active.cancelled_by_fault) {
    ++result_.cancelled;
    return;
  }
  ClassResult& class_result =
      result_.classes[active.arrival.kind == RequestKind::kLong ? 1 : 0];
  ++result_.offered;
  ++class_result.offered;
  if (active.answered) ++result_.answered;
  if (active.abandoned) ++result_.abandoned;
  if (!active.answered && !active.abandoned && active.attempt > 0)
    ++result_.failed;
  if (active.first_token != Time{}) {
    const double ttft =
        ToMilliseconds(active.first_token - active.arrival.time);
    class_result.ttft_ms.push_back(ttft);
    const ServiceModel& service =
        options_.deployment
            .services[static_cast<std::size_t>(active.arrival.service)];
    if (service.short_share < 1) class_result.ttft_shared_ms.push_back(ttft);
  }
  const bool in_time =
      active.answered &&
      active.first_token - active.arrival.time <= active.targets.first_token;
  const bool steady = static_cast<double>(active.late_gaps) <=
                      kMaxLateGapShare * static_cast<double>(active.gaps);
  if (!in_time || !steady) return;
  ++result_.good;
  ++class_result.good;
}

void Simulation::Announce(Runner& runner) {
  if (scheduler_.now() > arrivals_end_ + Seconds(120)) return;
  scheduler_.After(kAnnounceInterval, [this, &runner] { Announce(runner); });
  if (!runner.alive()) return;
  runner.removed = false;
  Decide(*runner.pool, false, [&](RoutingPolicy& policy) {
    policy.UpsertEndpoint(runner.info, scheduler_.now());
  });
  const bool stale = options_.fault == FaultKind::kStaleLoad;
  const auto extra = static_cast<std::int64_t>(random_.Below(1000));
  const Duration lag =
      stale ? Milliseconds(5000 + 5 * extra) : Milliseconds(200 + extra / 2);
  LoadReport report;
  report.endpoint = runner.info.id;
  report.incarnation = runner.info.incarnation;
  report.sequence = ++runner.report_sequence;
  if (stale && random_.Chance(0.2)) report.sequence /= 2;
  report.age = lag;
  report.running = runner.decode ? runner.decode->running() : 1;
  report.waiting =
      runner.decode ? runner.decode->waiting() : runner.prefill->waiting();
  if (runner.prefill)
    report.queued_prompt_tokens = Tokens(runner.prefill->queued_tokens());
  scheduler_.After(lag, [this, &runner, report] {
    Decide(*runner.pool, false, [&](RoutingPolicy& policy) {
      policy.Report(report, scheduler_.now());
    });
  });
  if (!runner.prefill) return;
  for (const FakeCacheEvent& drawn : runner.prefill->TakeCacheEvents()) {
    CacheEvent event{
        runner.info.id, ++runner.cache_sequence,
        drawn.stored ? CacheEventKind::kStored : CacheEventKind::kRemoved,
        drawn.hash};
    if (random_.Chance(kCacheEventLossRate)) continue;
    scheduler_.After(lag, [this, &runner, event] {
      Decide(*runner.pool, false, [&](RoutingPolicy& policy) {
        policy.OnCacheEvent(event, scheduler_.now());
      });
    });
  }
}

void Simulation::Kill(Runner& runner) {
  if (!runner.alive()) return;
  runner.granted.clear();
  if (runner.prefill) {
    runner.prefill->Crash();
  } else {
    runner.decode->Crash();
  }
  scheduler_.After(kRemovalDelay, [this, &runner] {
    runner.removed = true;
    Decide(*runner.pool, false, [&](RoutingPolicy& policy) {
      policy.RemoveEndpoint(runner.info.id, scheduler_.now());
    });
  });
  scheduler_.After(kRestartDelay, [&runner] {
    runner.info.incarnation = Incarnation(runner.info.incarnation.value() + 1);
    runner.granted.clear();
    if (runner.prefill) {
      runner.prefill->Restart();
    } else {
      runner.decode->Restart();
    }
  });
}

void Simulation::ScheduleFaults() {
  const auto repeat = [this](Duration every, std::function<void()> action) {
    // Starts after a third of the interval so that short runs get a fault, too.
    for (Time at = measure_from_ + every / 3; at < arrivals_end_; at += every)
      scheduler_.At(at, action);
  };
  const auto kill_one = [this](EndpointRole role) {
    std::vector<Runner*> candidates;
    for (const auto& runner : runners_) {
      const auto service = static_cast<std::size_t>(runner->pool->service);
      const bool has_prefill_runners =
          options_.deployment.services[service].prefill_runners > 0;
      if (runner->info.role == role && has_prefill_runners)
        candidates.push_back(runner.get());
    }
    Kill(*candidates[random_.Below(candidates.size())]);
  };
  if (options_.fault == FaultKind::kDecodeDeath) {
    repeat(kDecodeDeathInterval, [=] { kill_one(EndpointRole::kDecode); });
  } else if (options_.fault == FaultKind::kPrefillDeath) {
    repeat(kPrefillDeathInterval, [=] { kill_one(EndpointRole::kPrefill); });
  } else if (options_.fault == FaultKind::kLinkStall) {
    repeat(kLinkStallInterval, [this] {
      links_[random_.Below(links_.size())]->Stall(kLinkStallDuration);
    });
  } else if (options_.fault == FaultKind::kCancelStorm) {
    repeat(kCancelStormInterval, [this] {
      std::vector<ActiveRequestPtr> chosen;
      for (const auto& [id, active] : active_) {
        if (random_.Chance(kCancelStormShare)) chosen.push_back(active);
      }
      for (const ActiveRequestPtr& active : chosen) CallerCancels(active, true);
    });
  }
}

void Simulation::UpdateSummaries() {
  for (const auto& pool : pools_) {
    int free = 0;
    for (const EndpointRow& row : pool->policy->Endpoints(scheduler_.now())) {
      const bool usable =
          row.info.role != EndpointRole::kPrefill && !row.quarantined;
      if (usable) free += row.info.slots - row.running - row.reserved;
    }
    pool->summary = free - pool->queued;
  }
  if (scheduler_.now() < arrivals_end_ + Seconds(10))
    scheduler_.After(kSummaryInterval, [this] { UpdateSummaries(); });
}

void Simulation::RecordViolation(const std::string& name) {
  ++result_.violations;
  if (result_.violation_names.size() < 10)
    result_.violation_names.push_back(name);
}

BenchResult Simulation::Run() {
  const Time start = scheduler_.now();
  measure_from_ = start + kWarmUp;
  arrivals_end_ = measure_from_ + Seconds(options_.seconds);
  const int services = static_cast<int>(options_.deployment.services.size());
  for (int service = 0; service < services; ++service) {
    for (Arrival& arrival :
         DrawArrivals(options_.deployment, service, options_.load, start,
                      arrivals_end_, options_.seed)) {
      if (options_.only_short && arrival.kind == RequestKind::kLong) continue;
      const Time time = arrival.time;
      scheduler_.At(time,
                    [this, drawn = std::move(arrival)] { OnArrival(drawn); });
    }
  }
  ScheduleFaults();
  UpdateSummaries();
  while (scheduler_.RunOne()) continue;
  CheckAtEnd();
  return std::move(result_);
}

void Simulation::CheckAtEnd() {
  if (!active_.empty()) RecordViolation("requests never ended");
  for (const auto& pool : pools_) {
    const PolicyCounters counters = pool->policy->Counters();
    if (counters.violations > 0)
      RecordViolation("policy: " + std::string(counters.first_violation));
    result_.counters.quarantines += counters.quarantines;
    if (!pool->policy->Requests(scheduler_.now()).empty())
      RecordViolation("owner still tracks a request that has ended");
    for (const EndpointRow& row : pool->policy->Endpoints(scheduler_.now())) {
      if (row.running != 0 || row.reserved != 0 ||
          row.queued_prompt_tokens != Tokens(0))
        RecordViolation("reservations not released");
    }
  }
  for (const auto& runner : runners_) {
    const bool still_occupied = runner->decode
                                    ? runner->decode->running() > 0
                                    : runner->prefill->retained() > 0;
    if (still_occupied)
      RecordViolation("engine still holds slots or a KV cache");
  }
}

}  // namespace cassiausher
