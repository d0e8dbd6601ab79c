// Generates the request streams of the deployments.
#include "tools/policy_bench/workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace cassiausher {

namespace {

/// Bursts: one sixth of the time at 1.3 times the mean rate. At 1.5 an ideal
/// scheduler with one common queue already loses 3 to 6% of the requests at
/// load 0.95, so that the goodput figures could not tell policies apart.
constexpr double kBurstFactor = 1.3;
constexpr double kBurstSeconds = 1;
constexpr double kCalmSeconds = 5;
/// Share of long prompts that begin with one of kTemplates shared prefixes of
/// 1,024 tokens, which are three prefix hashes (256, 512 and 1,024 tokens).
constexpr double kSharedPrefixShare = 0.3;
constexpr std::uint64_t kTemplates = 20;
constexpr std::size_t kSharedHashes = 3;
constexpr std::int64_t kShortestPrefix = 256;

/// Accounts differ in traffic: account i sends in proportion to 1 / (i + 1).
int DrawAccount(Random& random, int accounts) {
  double total = 0;
  for (int i = 0; i < accounts; ++i) total += 1.0 / (i + 1);
  double remaining = random.Unit() * total;
  for (int i = 0; i < accounts; ++i) {
    remaining -= 1.0 / (i + 1);
    if (remaining < 0) return i;
  }
  return accounts - 1;
}

double DrawExponential(Random& random, double mean) {
  return -mean * std::log(1 - random.Unit());
}

std::vector<std::uint64_t> DrawPrefixes(Random& random, std::int64_t prompt) {
  const bool shared = random.Chance(kSharedPrefixShare);
  const std::uint64_t key = random.Below(kTemplates);
  std::vector<std::uint64_t> hashes;
  for (std::int64_t length = kShortestPrefix; length <= prompt; length *= 2) {
    const bool common = shared && hashes.size() < kSharedHashes;
    hashes.push_back(common ? key * 16 + hashes.size()
                            : random.engine()() | (1ULL << 63));
  }
  return hashes;
}

/// Slot time of one request on a full engine. A decode engine that prefills
/// a prompt itself blocks all its slots meanwhile.
double SlotSeconds(const EngineModel& engine, bool prefills_locally,
                   double prompt, double output) {
  const double generated = output * ToSeconds(engine.Step(engine.slots));
  const double blocked =
      engine.slots * prompt / engine.prefill_tokens_per_second;
  return generated + (prefills_locally ? blocked : 0);
}

/// Scales the arrival times so that the drawn slot time is exactly `load` times
/// the capacity of the slots. Without it the random lengths and bursts of a
/// short run make its load differ from the requested load by several per cent.
void ScaleToLoad(const DeploymentModel& model, int service, double load,
                 Time start, Time end, std::vector<Arrival>& arrivals) {
  const ServiceModel& service_model =
      model.services[static_cast<std::size_t>(service)];
  const int slots =
      model.data_centres * service_model.decode_runners * model.engine.slots;
  const double target_seconds = load * slots * ToSeconds(end - start);
  double drawn_seconds = 0;
  std::size_t count = 0;
  for (; count < arrivals.size() && drawn_seconds < target_seconds; ++count) {
    const Arrival& arrival = arrivals[count];
    drawn_seconds +=
        SlotSeconds(model.engine, arrival.kind == RequestKind::kShort,
                    static_cast<double>(arrival.prompt),
                    static_cast<double>(arrival.output));
  }
  arrivals.resize(count);
  if (arrivals.empty()) return;
  const double scale =
      ToSeconds(end - start) / ToSeconds(arrivals.back().time - start);
  for (Arrival& arrival : arrivals)
    arrival.time = start + FromSeconds(scale * ToSeconds(arrival.time - start));
}

DeploymentModel Kaewmanee() {
  DeploymentModel model;
  model.name = "kaewmanee";
  model.services = {{"fitting-assistant", 1, 2, 0.25},
                    {"kiosk-lookup", 0, 1, 1}};
  model.long_prompt = {2500, 0.75, 300, 16000};
  model.long_output = {130, 0.6, 8, 1024};
  model.short_prompt = {80, 0.6, 10, 1000};
  model.short_output = {30, 0.5, 4, 200};
  model.prefill_thrift = 0.2;
  return model;
}

DeploymentModel Association() {
  DeploymentModel model = Kaewmanee();
  model.name = "association";
  model.services = {{"registry-assistant", 1, 2, 0.25},
                    {"member-lookup", 0, 1, 1}};
  model.long_prompt = {3500, 0.7, 300, 16000};
  model.long_output = {200, 0.5, 8, 1024};
  model.prefill_thrift = 0.9;
  return model;
}

/// 600 runners: each of 6 data centres has 19 services of both classes with
/// 1 prefill and 3 decode runners, and 8 short-class services with 3 decode
/// runners.
DeploymentModel Aim() {
  DeploymentModel model = Kaewmanee();
  model.name = "aim";
  model.data_centres = 6;
  model.accounts = 440;
  model.prefill_thrift = 0.5;
  model.services.clear();
  for (int i = 0; i < 19; ++i)
    model.services.push_back({fmt::format("model-{}", i), 1, 3, 0.25});
  for (int i = 19; i < 27; ++i)
    model.services.push_back({fmt::format("model-{}", i), 0, 3, 1});
  return model;
}

/// One pool, to measure how the cost of a decision grows with its endpoints.
DeploymentModel OnePool(int endpoints) {
  DeploymentModel model = Kaewmanee();
  model.name = fmt::format("pool-{}", endpoints);
  model.data_centres = 1;
  model.accounts = 440;
  model.services = {{"model", endpoints / 3, endpoints - endpoints / 3, 0.25}};
  model.engine.link_bytes_per_second *= endpoints / 3.0;
  return model;
}

}  // namespace

std::int64_t LengthModel::Draw(Random& random) const {
  std::lognormal_distribution<double> distribution(std::log(median), sigma);
  const double drawn = distribution(random.engine());
  return std::clamp(static_cast<std::int64_t>(drawn), minimum, maximum);
}

double LengthModel::Mean() const {
  constexpr int kDraws = 20000;
  Random random(1);
  double sum = 0;
  for (int i = 0; i < kDraws; ++i) sum += static_cast<double>(Draw(random));
  return sum / kDraws;
}

double DeploymentModel::FullRate(const ServiceModel& service) const {
  const double long_seconds = SlotSeconds(engine, false, 0, long_output.Mean());
  const double short_seconds =
      SlotSeconds(engine, true, short_prompt.Mean(), short_output.Mean());
  const double mean = service.short_share * short_seconds +
                      (1 - service.short_share) * long_seconds;
  return data_centres * service.decode_runners * engine.slots / mean;
}

bool FindDeployment(const std::string& name, DeploymentModel* model) {
  for (const DeploymentModel& known :
       {Kaewmanee(), Association(), Aim(), OnePool(12), OnePool(600)}) {
    if (known.name != name) continue;
    *model = known;
    return true;
  }
  return false;
}

std::vector<Arrival> DrawArrivals(const DeploymentModel& model, int service,
                                  double load, Time start, Time end,
                                  std::uint64_t seed) {
  const ServiceModel& service_model =
      model.services[static_cast<std::size_t>(service)];
  Random random(seed * 1000 + static_cast<std::uint64_t>(service));
  const double rate = load * model.FullRate(service_model);
  const double calm_factor =
      1 - (kBurstFactor - 1) * kBurstSeconds / kCalmSeconds;
  // Draws more than needed; ScaleToLoad cuts off the rest.
  const Time drawn_until = end + (end - start) / 2;
  std::vector<Arrival> arrivals;
  Time time = start;
  bool burst = false;
  Time phase_end = start + FromSeconds(DrawExponential(random, kCalmSeconds));
  while (true) {
    const double factor = burst ? kBurstFactor : calm_factor;
    const Time next =
        time + FromSeconds(DrawExponential(random, 1 / (rate * factor)));
    if (next > phase_end) {
      // Poisson arrivals are memoryless, so draw again at the next phase's
      // rate.
      time = phase_end;
      burst = !burst;
      phase_end = time + FromSeconds(DrawExponential(
                             random, burst ? kBurstSeconds : kCalmSeconds));
      if (time >= drawn_until) break;
      continue;
    }
    time = next;
    if (time >= drawn_until) break;
    Arrival arrival;
    arrival.time = time;
    arrival.service = service;
    arrival.data_centre = static_cast<int>(
        random.Below(static_cast<std::uint64_t>(model.data_centres)));
    const bool is_short = random.Chance(service_model.short_share);
    arrival.kind = is_short ? RequestKind::kShort : RequestKind::kLong;
    arrival.account = DrawAccount(random, model.accounts);
    arrival.prompt =
        (is_short ? model.short_prompt : model.long_prompt).Draw(random);
    arrival.output =
        (is_short ? model.short_output : model.long_output).Draw(random);
    arrival.prefix_hashes = DrawPrefixes(random, arrival.prompt);
    arrivals.push_back(std::move(arrival));
  }
  ScaleToLoad(model, service, load, start, end, arrivals);
  return arrivals;
}

}  // namespace cassiausher
