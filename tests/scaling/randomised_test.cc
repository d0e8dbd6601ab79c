// Runs planners in a simulation of runners, demand and an unreliable network.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>

#include "core/random.h"
#include "tests/scaling/scaling_pool.h"

using namespace cassiausher;  // NOLINT

namespace {

constexpr int kStep = 2;  // Seconds between observations.
constexpr double kHour = 3600;
/// Capacity of one runner as the default options compute it.
constexpr double kPrefillRate = 10'000;
constexpr double kDecodeRate = 20 * 24;

struct Owner {
  std::unique_ptr<PoolPlanner> planner;
  Epoch epoch{0};
  double stops = 1e9;
  bool refused = false;
};

/// An order, or its result, on its way through the network.
struct Message {
  double arrives = 0;
  std::size_t owner = 0;
  ScalingOrder order;
  std::optional<OrderOutcome> outcome;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, int prefill, int decode,
             PoolPlannerOptions options)
      : random_(seed),
        options_(std::move(options)),
        pool_(Pool(prefill, decode)) {
    NewOwner();
  }

  void NewOwner() {
    for (Owner& owner : owners_) {
      // A previous owner may not know yet that it was replaced.
      owner.stops =
          std::min(owner.stops, now_ + static_cast<double>(random_.Below(30)));
    }
    owners_.push_back(
        {.planner = std::make_unique<PoolPlanner>(options_, &scheduler_),
         .epoch = Epoch(owners_.size() + 1)});
    owners_.back().planner->SetLease(true, owners_.back().epoch, At(now_));
    owners_.back().planner->SetWanted(wanted);
  }

  void Step() {
    now_ += kStep;
    if (faults) InjectFaults();
    Deliver();
    MoveRequests();
    for (std::size_t i = 0; i < owners_.size(); ++i) StepOwner(i);
  }

  /// Sets prefill and decode demand, in units of one runner's capacity.
  void SetLoads(double prefill, double decode) {
    SetDemand(pool_, prefill * kPrefillRate, decode * kDecodeRate);
  }
  int PrefillRunners() const {
    return static_cast<int>(std::count_if(
        pool_.endpoints.begin(), pool_.endpoints.end(),
        [](const auto& e) { return e.info.role == EndpointRole::kPrefill; }));
  }
  int Size() const { return static_cast<int>(pool_.endpoints.size()); }
  double now() const { return now_; }
  PoolPlanner& planner() { return *owners_.back().planner; }

  bool faults = false;
  std::vector<WantedArtifact> wanted;
  /// Role changes that runners executed, and when the last one was.
  int changes = 0;
  double last_change = 0;
  /// Orders that runners refused because of a stale epoch.
  int stale = 0;

 private:
  void InjectFaults() {
    if (random_.Chance(0.002)) NewOwner();
    for (EndpointStatus& endpoint : pool_.endpoints) {
      // Requests carry the epoch too. An isolated owner learns of a higher one
      // only from a refusal.
      Epoch& seen = seen_[endpoint.info.id];
      if (random_.Chance(0.2)) seen = std::max(seen, owners_.back().epoch);
      if (random_.Chance(0.0002)) seen = Epoch(owners_.size() + 1);
      if (random_.Chance(0.0005)) {
        endpoint.info.incarnation += Incarnation(1);
        endpoint.loaded.clear();
      }
      const bool suspect = endpoint.state == EndpointState::kSuspect;
      if (random_.Chance(suspect ? 0.5 : 0.001)) {
        endpoint.state =
            suspect ? EndpointState::kAlive : EndpointState::kSuspect;
      }
    }
  }

  void Transmit(const Message& message) {
    const int copies = !faults                ? 1
                       : random_.Chance(0.25) ? 0
                       : random_.Chance(0.25) ? 2
                                              : 1;
    for (int i = 0; i < copies; ++i) {
      messages_.push_back(message);
      messages_.back().arrives =
          now_ + (faults ? static_cast<double>(random_.Below(60)) : 1);
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      if (message.arrives > now_) return false;
      due.push_back(message);
      return true;
    });
    for (Message& message : due) {
      if (message.outcome) {
        Owner& owner = owners_[message.owner];
        owner.refused |= message.outcome == OrderOutcome::kStaleEpoch;
        owner.planner->OnResult({.id = message.order.id,
                                 .endpoint = message.order.endpoint,
                                 .outcome = *message.outcome},
                                At(now_));
        continue;
      }
      message.outcome = Execute(message.order);
      Transmit(message);
    }
  }

  OrderOutcome Execute(const ScalingOrder& order) {
    EndpointStatus& endpoint = *std::find_if(
        pool_.endpoints.begin(), pool_.endpoints.end(),
        [&](const auto& e) { return e.info.id == order.endpoint; });
    OrderId& highest = executed_[order.endpoint];
    Epoch& seen = seen_[order.endpoint];
    if (order.id.epoch < seen) {
      ++stale;
      return OrderOutcome::kStaleEpoch;
    }
    seen = order.id.epoch;
    if (order.id <= highest) return OrderOutcome::kDone;
    if (faults && random_.Chance(0.1)) return OrderOutcome::kFailed;
    highest = order.id;
    if (order.kind != OrderKind::kSetRole) {
      endpoint.loaded.insert(order.artifact);
    } else if (endpoint.info.role != order.role) {
      endpoint.info.role = order.role;
      ++changes;
      last_change = now_;
      CHECK(PrefillRunners() >= 1 && PrefillRunners() < Size());
    }
    return OrderOutcome::kDone;
  }

  void MoveRequests() {
    const auto drained = planner().Drained();
    for (EndpointStatus& endpoint : pool_.endpoints) {
      int& slots = endpoint.slots_in_use;
      if (drained != endpoint.info.id)
        slots = static_cast<int>(random_.Below(20));
      else if (slots > 0)
        --slots;
    }
  }

  void StepOwner(std::size_t index) {
    Owner& owner = owners_[index];
    if (now_ >= owner.stops) {
      owner.planner->SetLease(false, owner.epoch, At(now_));
    }
    for (const ScalingOrder& order : owner.planner->Step(pool_, At(now_))) {
      CHECK(order.id.epoch == owner.epoch && now_ < owner.stops);
      CHECK(!owner.refused);
      const auto [known, fresh] = sent_.try_emplace(order.id, order);
      CHECK(known->second.endpoint == order.endpoint &&
            known->second.kind == order.kind &&
            known->second.role == order.role);
      CHECK(fresh == (order.attempt == 1));
      const auto drained = owner.planner->Drained();
      CHECK(!drained || index + 1 < owners_.size() ||
            std::all_of(pool_.endpoints.begin(), pool_.endpoints.end(),
                        [&](const auto& e) {
                          return e.info.id != order.endpoint ||
                                 e.slots_in_use == 0;
                        }));
      Transmit({.owner = index, .order = order});
    }
  }

  Random random_;
  PoolPlannerOptions options_;
  PoolObservation pool_;
  LoadScheduler scheduler_{{}};
  std::vector<Owner> owners_;
  std::vector<Message> messages_;
  std::map<EndpointId, OrderId> executed_;
  /// Highest fencing number that each runner has seen in orders or requests.
  std::map<EndpointId, Epoch> seen_;
  std::map<OrderId, ScalingOrder> sent_;
  double now_ = 0;
};

Simulation RandomSimulation(std::uint64_t seed, Random& random,
                            PoolPlannerOptions options = {}) {
  return Simulation(seed, 1 + static_cast<int>(random.Below(4)),
                    1 + static_cast<int>(random.Below(8)), std::move(options));
}

/// Returns the role changes in one hour of demand that oscillates between the
/// roles.
int RunOscillation(std::uint64_t seed, double half_period, bool faults,
                   const PoolPlannerOptions& options, int* size) {
  Random random(seed);
  Simulation simulation = RandomSimulation(seed, random, options);
  simulation.faults = faults;
  const double n = *size = simulation.Size();
  const double amplitude = n * (0.5 + 3 * random.Unit());
  while (simulation.now() < kHour) {
    const bool prefill_peak =
        static_cast<int>(simulation.now() / half_period) % 2 == 0;
    simulation.SetLoads(prefill_peak ? amplitude : 0.1,
                        prefill_peak ? 0.1 : amplitude);
    simulation.Step();
  }
  return simulation.changes;
}

}  // namespace

TEST_GROUP(ScalingRandomised) {
  void Seed(std::uint64_t seed) { current = seed; }
  void teardown() override {
    if (!UtestShell::getCurrent()->hasFailed()) return;
    std::printf("seed %llu\n", static_cast<unsigned long long>(current));
  }
  std::uint64_t current = 0;
};

// Guards against flapping: demand that reverses within the hold time, while
// orders, owners and runners fail, must not cause role changes. The same runs
// without hysteresis show that the simulated pool would flap.
TEST(ScalingRandomised, FastOscillationCausesNoRoleChange) {
  constexpr int kSeeds = 2000;
  constexpr int kBaselineSeeds = 200;
  const PoolPlannerOptions no_hysteresis{.imbalance_hold = Duration(0),
                                         .pool_cooldown = Duration(0),
                                         .endpoint_cooldown = Duration(0),
                                         .benefit_margin = 0};
  int baseline = 0;
  int size = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Seed(seed);
    const double half_period = 2 + static_cast<double>(seed % 56);
    LONGS_EQUAL(0, RunOscillation(seed, half_period, seed % 2 == 0, {}, &size));
    if (seed > kBaselineSeeds) continue;
    baseline += RunOscillation(seed, half_period, false, no_hysteresis, &size);
  }
  CHECK(baseline > kBaselineSeeds);
  std::printf(
      "\nfast oscillation: 0 role changes in %d simulated hours; without "
      "hysteresis %.1f per hour\n",
      kSeeds, static_cast<double>(baseline) / kBaselineSeeds);
}

// Guards against more role changes under slow oscillation than the cooldowns
// allow.
TEST(ScalingRandomised, SlowOscillationIsBoundedByCooldowns) {
  constexpr int kSeeds = 200;
  for (const int half_period : {120, 300, 900}) {
    int changes = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Seed(seed);
      int size = 0;
      const int hour = RunOscillation(seed, half_period, false, {}, &size);
      CHECK(hour <= std::min(30, 6 * size));
      changes += hour;
    }
    std::printf("oscillation of %d s each way: %.1f role changes per hour\n",
                half_period, static_cast<double>(changes) / kSeeds);
  }
}

// Guards against a planner that doesn't follow a step in demand, changes the
// role of more runners than needed, or continues to do so afterwards.
TEST(ScalingRandomised, StepInDemandIsFollowedAndThePoolSettles) {
  constexpr int kSeeds = 2000;
  int changes = 0;
  int adapted = 0;
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Seed(seed);
    Random random(seed);
    Simulation simulation = RandomSimulation(seed, random);
    const int n = simulation.Size();
    const int prefill_runners = simulation.PrefillRunners();
    const double share = random.Unit();
    const double load = 0.9 * n;
    simulation.SetLoads(0.5 * prefill_runners, 0.5 * (n - prefill_runners));
    while (simulation.now() < 600) simulation.Step();
    LONGS_EQUAL(0, simulation.changes);
    simulation.SetLoads(load * share, load * (1 - share));
    while (simulation.now() < 600 + 2 * kHour) simulation.Step();
    // Each role change brings the split closer to the demand, and no runner
    // changes back, so there are at most as many changes as the split has to
    // shift.
    const int ideal = static_cast<int>(share * n + 0.5);
    CHECK(simulation.changes <= std::abs(ideal - prefill_runners) + 1);
    LONGS_EQUAL(simulation.changes,
                std::abs(simulation.PrefillRunners() - prefill_runners));
    CHECK(simulation.last_change < 600 + kHour);
    changes += simulation.changes;
    if (simulation.changes == 0) continue;
    ++adapted;
    times.push_back(simulation.last_change - 600);
  }
  std::sort(times.begin(), times.end());
  CHECK(adapted > kSeeds / 4);
  std::printf(
      "step: %d of %d pools changed, %.2f changes each; time to adapt p50 "
      "%.0f s, p95 %.0f s, max %.0f s\n",
      adapted, kSeeds, static_cast<double>(changes) / adapted,
      times[times.size() / 2], times[times.size() * 95 / 100], times.back());
}

// Guards against a planner that breaks an invariant, or doesn't settle
// afterwards, when orders and results are lost, duplicated, late, refused or
// failed, owners change and runners restart.
TEST(ScalingRandomised, FaultsKeepInvariantsAndThePoolSettles) {
  constexpr int kSeeds = 2000;
  int changes = 0;
  int stale = 0;
  double latest = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Seed(seed);
    Random random(seed);
    Simulation simulation = RandomSimulation(seed, random);
    const double n = simulation.Size();
    simulation.wanted = {
        {.id = {ArtifactKind::kVersion, "v2"}, .size = Bytes(1000)},
        {.id = {ArtifactKind::kAdapter, "a"}, .size = Bytes(10)}};
    simulation.NewOwner();
    simulation.faults = true;
    double share = 0.5;
    while (simulation.now() < kHour) {
      if (random.Chance(0.005)) share = random.Unit();
      simulation.SetLoads(n * share, n * (1 - share));
      simulation.Step();
    }
    changes += simulation.changes;
    stale += simulation.stale;
    // Changes in progress when the faults end are still affected by them.
    simulation.faults = false;
    simulation.NewOwner();
    const int before = simulation.changes;
    while (simulation.now() < 3 * kHour) simulation.Step();
    CHECK(simulation.changes - before <= n + 1);
    latest = std::max(latest, simulation.last_change - kHour);
    CHECK(simulation.last_change < 2 * kHour);
    CHECK(!simulation.planner().Drained());
  }
  std::printf(
      "faults: %.2f role changes per simulated hour, %d stale refusals; after "
      "the faults the last change came within %.0f s\n",
      static_cast<double>(changes) / kSeeds, stale, latest);
}
