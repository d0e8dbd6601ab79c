// Random inputs, and the model that the outputs are checked against.
#include "tests/routing/policy_driver.h"

#include <fmt/format.h>

#include "modules/policy_greedy/register_types.h"
#include "modules/policy_least_loaded/register_types.h"
#include "modules/policy_reserving/register_types.h"
#include "modules/policy_round_robin/register_types.h"

namespace cassiausher {

namespace {

constexpr int kEndpointCount = 6;
constexpr int kSlotsPerEndpoint = 4;

}  // namespace

RoutingPolicyRegistry TestPolicies() {
  RoutingPolicyRegistry registry;
  RegisterRoundRobinPolicy(registry);
  RegisterLeastLoadedPolicy(registry);
  RegisterGreedyPolicy(registry);
  RegisterReservingPolicy(registry);
  return registry;
}

EndpointInfo TestEndpoint(const std::string& name, EndpointRole role,
                          int slots) {
  EndpointInfo info;
  info.id = EndpointId(name);
  info.service = ServiceId("service");
  info.role = role;
  info.url = "http://" + name;
  info.slots = slots;
  info.kv_capacity = Bytes(4'000'000'000);
  info.kv_bytes_per_token = Bytes(100'000);
  info.prefill_tokens_per_second = 40000;
  info.incarnation = Incarnation(1);
  return info;
}

RouteRequest TestRequest(const std::string& id, std::int64_t prompt,
                         Time arrived, const std::string& class_id) {
  RouteRequest request;
  request.id = RequestId(id);
  request.entry = InstanceId("entry");
  request.service = ServiceId("service");
  request.class_id = ClassId(class_id);
  request.account = AccountId("account");
  request.arrived = arrived;
  request.prompt_tokens = Tokens(prompt);
  request.max_output_tokens = Tokens(500);
  return request;
}

RoutingOptions TestOptions() {
  RoutingOptions options;
  options.classes = {{ClassId("short"), 0, Milliseconds(400), Milliseconds(42)},
                     {ClassId("long"), 1, Milliseconds(860), Milliseconds(42)}};
  return options;
}

PolicyDriver::PolicyDriver(const std::string& policy, std::uint64_t seed,
                           bool enforce_slots)
    : random_(seed),
      enforce_slots_(enforce_slots),
      policy_(TestPolicies().Create(policy, TestOptions())) {
  for (int i = 0; i < kEndpointCount; ++i) {
    const EndpointRole role =
        i < 2 ? EndpointRole::kPrefill : EndpointRole::kDecode;
    const EndpointInfo info =
        TestEndpoint(fmt::format("e{}", i), role, kSlotsPerEndpoint);
    endpoints_[info.id] = info;
    policy_->UpsertEndpoint(info, now_);
  }
}

void PolicyDriver::AddViolation(const std::string& text) {
  violations_.push_back(
      fmt::format("at {} us: {}", now_.time_since_epoch().count(), text));
}

void PolicyDriver::Run(int steps) {
  for (int i = 0; i < steps && violations_.empty(); ++i) Step();
}

void PolicyDriver::Step() {
  now_ += Duration(static_cast<std::int64_t>(random_.Below(60000)));
  if (policy_->NextWakeup() <= now_) policy_->Tick(now_);
  CheckOutputs();
  const std::uint64_t choice = random_.Below(100);
  if (choice < 32) {
    AdmitOne();
  } else if (choice < 34) {
    RepeatAdmit();
  } else if (choice < 35) {
    AdoptOne();
  } else if (choice < 88) {
    if (!active_.empty()) AdvanceRequest(RandomRequest());
  } else if (choice < 89) {
    LoseEntryInstance();
  } else if (choice < 93) {
    ChangeEndpoint();
  } else {
    SendReport();
  }
  CheckOutputs();
  const PolicyCounters counters = policy_->Counters();
  if (counters.violations > 0)
    AddViolation("violation: " + std::string(counters.first_violation));
}

void PolicyDriver::AdmitOne() {
  RouteRequest request =
      TestRequest(fmt::format("q{}", next_id_++),
                  static_cast<std::int64_t>(random_.Below(8000)), now_,
                  random_.Chance(0.3) ? "short" : "long");
  request.entry = InstanceId(fmt::format("i{}", random_.Below(3)));
  request.account = AccountId(fmt::format("a{}", random_.Below(5)));
  if (random_.Chance(0.1)) request.attempt = 1;
  if (request.attempt > 0 && random_.Chance(0.5))
    request.delivered_tokens = Tokens(50);
  request.may_forward = random_.Chance(0.2);
  if (random_.Chance(0.02)) request.prompt_tokens = Tokens(-5);
  if (random_.Chance(0.02)) request.service = ServiceId("unknown");
  if (random_.Chance(0.02)) request.arrived = now_ + Seconds(10);
  if (random_.Chance(0.1)) request.avoid = {RandomEndpoint()};
  ActiveRequest& active = active_[request.id];
  active.entry = request.entry;
  active.request = request;
  policy_->Admit(request, now_);
}

void PolicyDriver::RepeatAdmit() {
  if (active_.empty()) return;
  repeated_ = RandomRequest();
  policy_->Admit(active_[repeated_].request, now_);
  CheckOutputs();
  repeated_ = RequestId();
}

void PolicyDriver::AdoptOne() {
  AdoptedRequest adopted;
  adopted.request = TestRequest(fmt::format("q{}", next_id_++), 1000, now_);
  adopted.request.entry = InstanceId("i0");
  adopted.decode = RandomEndpoint();
  const bool decodes = endpoints_[adopted.decode].role == EndpointRole::kDecode;
  const bool full = held_[adopted.decode] >= kSlotsPerEndpoint;
  if (!decodes || full || removed_.contains(adopted.decode)) return;
  ActiveRequest& active = active_[adopted.request.id];
  active.entry = adopted.request.entry;
  active.stage = RequestStage::kDecode;
  active.decode = adopted.decode;
  active.decode_generation = generations_[active.decode];
  active.request = adopted.request;
  ++held_[active.decode];
  policy_->Adopt(adopted, now_);
}

void PolicyDriver::AdvanceRequest(const RequestId& id) {
  ActiveRequest& active = active_[id];
  const bool dead = active.stage != RequestStage::kQueued &&
                    generations_[active.decode] != active.decode_generation;
  if (active.stage == RequestStage::kQueued && !random_.Chance(0.1)) return;
  if (active.stage == RequestStage::kQueued || random_.Chance(0.05)) {
    policy_->OnCancelled(id, now_);
  } else if (dead || random_.Chance(0.05)) {
    policy_->OnFailed(id, random_.Chance(0.5) ? active.decode : active.prefill,
                      now_);
  } else if (active.stage == RequestStage::kPrefill &&
             !active.prefill.empty()) {
    policy_->OnPrefillFinished(id, now_);
    active.stage = RequestStage::kTransfer;
    return;
  } else if (active.stage != RequestStage::kDecode) {
    policy_->OnFirstToken(id, now_);
    active.stage = RequestStage::kDecode;
    return;
  } else {
    policy_->OnFinished(id, Tokens(random_.Below(300)), now_);
  }
  if (active.stage != RequestStage::kQueued && !dead) --held_[active.decode];
  active_.erase(id);
  // Repeated progress must have no effect.
  if (random_.Chance(0.1)) policy_->OnFinished(id, Tokens(1), now_);
}

void PolicyDriver::LoseEntryInstance() {
  const InstanceId entry(fmt::format("i{}", random_.Below(3)));
  for (auto it = active_.begin(); it != active_.end();) {
    const ActiveRequest& active = it->second;
    if (active.entry != entry) {
      ++it;
      continue;
    }
    if (active.stage != RequestStage::kQueued) {
      if (generations_[active.decode] == active.decode_generation) {
        expected_cancels_.insert({it->first, active.decode});
        --held_[active.decode];
      }
      if (!active.prefill.empty() &&
          generations_[active.prefill] == active.prefill_generation) {
        expected_cancels_.insert({it->first, active.prefill});
      }
    }
    it = active_.erase(it);
  }
  policy_->OnEntryLost(entry, now_);
  CheckOutputs();
  if (!expected_cancels_.empty())
    AddViolation("no cancel order for an engine that holds the request");
  expected_cancels_.clear();
}

void PolicyDriver::ChangeEndpoint() {
  const EndpointId id = RandomEndpoint();
  EndpointInfo& info = endpoints_[id];
  const std::uint64_t choice = random_.Below(6);
  if (removed_.contains(id)) {
    removed_.erase(id);
    policy_->UpsertEndpoint(info, now_);
  } else if (choice == 4) {
    removed_.insert(id);
    ++generations_[id];
    held_[id] = 0;
    quarantined_until_.erase(id);
    policy_->RemoveEndpoint(id, now_);
  } else if (choice == 5) {
    RoutingOptions options = TestOptions();
    options.prefill_thrift = random_.Unit();
    options.link_bytes_per_second = 1e8 + 1e10 * random_.Unit();
    if (random_.Chance(0.3)) std::swap(options.classes[0], options.classes[1]);
    if (random_.Chance(0.3)) options.classes[0].priority = 2;
    policy_->Reconfigure(options, now_);
  } else if (choice == 0) {
    info.departing = !info.departing;
    policy_->UpsertEndpoint(info, now_);
  } else if (choice == 1) {
    info.incarnation = Incarnation(info.incarnation.value() + 1);
    ++generations_[id];
    held_[id] = 0;
    quarantined_until_.erase(id);
    policy_->UpsertEndpoint(info, now_);
  } else if (choice == 2) {
    EndpointInfo old = info;
    old.incarnation = Incarnation(0);
    policy_->UpsertEndpoint(old, now_);
  } else {
    policy_->OnCancelUnconfirmed(id, now_);
  }
}

void PolicyDriver::SendReport() {
  LoadReport report;
  report.endpoint =
      random_.Chance(0.1) ? EndpointId("unknown") : RandomEndpoint();
  report.incarnation = Incarnation(1 + random_.Below(2));
  report.sequence = random_.Chance(0.2) ? 1 : ++sequence_;
  report.age = Milliseconds(static_cast<std::int64_t>(random_.Below(3000)));
  report.running = static_cast<int>(random_.Below(6));
  if (random_.Chance(0.1)) report.running = -1000000;
  if (random_.Chance(0.05)) report.waiting = 1 << 30;
  policy_->Report(report, now_);
  CacheEvent event{report.endpoint, random_.Below(50), CacheEventKind::kStored,
                   random_.Below(20)};
  if (random_.Chance(0.5)) event.kind = CacheEventKind::kRemoved;
  policy_->OnCacheEvent(event, now_);
}

void PolicyDriver::CheckOutputs() {
  for (const RouteOutput& output : policy_->TakeOutputs()) {
    if (const auto* grant = std::get_if<Grant>(&output)) {
      OnGrant(*grant);
    } else if (const auto* refusal = std::get_if<RouteRefusal>(&output)) {
      const auto found = active_.find(refusal->request);
      if (found == active_.end() ||
          found->second.stage != RequestStage::kQueued)
        AddViolation("refusal of a request that is not queued");
      if (found != active_.end()) active_.erase(found);
    } else if (const auto* cancel = std::get_if<CancelOrder>(&output)) {
      if (expected_cancels_.erase({cancel->request, cancel->endpoint}) == 0)
        AddViolation(
            "cancel order for a request that the endpoint does not hold");
    } else if (const auto* notice = std::get_if<QuarantineNotice>(&output)) {
      quarantined_until_[notice->endpoint] = notice->until;
    }
  }
}

void PolicyDriver::OnGrant(const Grant& grant) {
  const auto found = active_.find(grant.request);
  const bool is_repeat = found != active_.end() && grant.request == repeated_ &&
                         found->second.stage != RequestStage::kQueued;
  if (is_repeat) {
    if (grant.decode != found->second.decode)
      AddViolation("repeated grant with another decode endpoint");
    return;
  }
  if (found == active_.end() || found->second.stage != RequestStage::kQueued) {
    AddViolation("grant of a request that is not queued");
    return;
  }
  ActiveRequest& active = found->second;
  active.stage = RequestStage::kPrefill;
  active.prefill = grant.prefill;
  active.decode = grant.decode;
  active.decode_generation = generations_[grant.decode];
  active.prefill_generation = generations_[grant.prefill];
  const int held = ++held_[grant.decode];
  if (enforce_slots_ && held > kSlotsPerEndpoint)
    AddViolation("slots over-committed");
  if (grant.entry != active.entry)
    AddViolation("grant to another entry instance");
  if (grant.decode_url.empty()) AddViolation("grant without a decode endpoint");
  if (grant.prefill_timeout <= Duration(0))
    AddViolation("grant without a timeout");
  for (const EndpointId& id : {grant.prefill, grant.decode}) {
    if (id.empty()) continue;
    if (removed_.contains(id)) AddViolation("grant to a dead endpoint");
    if (endpoints_[id].departing) AddViolation("grant to a departing endpoint");
    if (quarantined_until_.contains(id) && quarantined_until_[id] > now_)
      AddViolation("grant to an endpoint in quarantine");
  }
}

void PolicyDriver::CancelAll() {
  while (!active_.empty() && violations_.empty()) {
    const RequestId id = active_.begin()->first;
    const ActiveRequest& active = active_.begin()->second;
    const bool holds = active.stage != RequestStage::kQueued &&
                       generations_[active.decode] == active.decode_generation;
    if (holds) --held_[active.decode];
    active_.erase(id);
    policy_->OnCancelled(id, now_);
    CheckOutputs();
  }
  if (!policy_->Requests(now_).empty())
    AddViolation("a request remains after all were cancelled");
  for (const EndpointRow& row : policy_->Endpoints(now_)) {
    const bool released = row.running == 0 && row.reserved == 0 &&
                          row.queued_prompt_tokens == Tokens(0);
    if (!released) AddViolation("work remains on " + row.info.id.value());
  }
}

RequestId PolicyDriver::RandomRequest() {
  auto it = active_.begin();
  std::advance(it, random_.Below(active_.size()));
  return it->first;
}

EndpointId PolicyDriver::RandomEndpoint() {
  return EndpointId(fmt::format("e{}", random_.Below(kEndpointCount)));
}

}  // namespace cassiausher
