#include "servers/control/stage_balancer.h"

#include <cmath>

namespace cassiausher {

void StageBalancer::Smooth(const Loads& sample, Time now) {
  // Starts at no load, so that a first sample at a peak is no imbalance.
  const double passed = ToSeconds(now - sampled_at_.value_or(now));
  const double kept = std::exp(-passed / ToSeconds(options_.smoothing));
  loads_.prefill = kept * loads_.prefill + (1 - kept) * sample.prefill;
  loads_.decode = kept * loads_.decode + (1 - kept) * sample.decode;
  sampled_at_ = now;
}

std::optional<StageOrder> StageBalancer::Step(
    const std::vector<RunnerLoad>& runners, Tokens kv_capacity, Time now) {
  int prefill_runners = 0;
  int decode_runners = 0;
  int reading = 0;
  double memory = 0;
  for (const RunnerLoad& runner : runners) {
    if (runner.role == EndpointRole::kPrefill) {
      ++prefill_runners;
      reading += runner.requests;
    } else if (runner.role == EndpointRole::kDecode) {
      ++decode_runners;
      memory += static_cast<double>(runner.kv_tokens.value());
    }
  }
  if (prefill_runners == 0 || decode_runners == 0) return std::nullopt;
  if (kv_capacity.value() <= 0) return std::nullopt;
  const double usable = static_cast<double>(kv_capacity.value()) *
                        options_.usable_memory * decode_runners;
  Smooth({static_cast<double>(reading) / prefill_runners, memory / usable},
         now);

  const bool decode_is_short = loads_.decode > loads_.prefill;
  const int donors = decode_is_short ? prefill_runners : decode_runners;
  const int takers = decode_is_short ? decode_runners : prefill_runners;
  const double donor_load = decode_is_short ? loads_.prefill : loads_.decode;
  const double taker_load = decode_is_short ? loads_.decode : loads_.prefill;
  const bool spare = donors > options_.least_runners;
  const double donor_after = spare ? donor_load * donors / (donors - 1) : 0;
  const double taker_after = taker_load * takers / (takers + 1);
  const double after = std::fmax(donor_after, taker_after);
  const bool worth_it = spare && loads_.busier() >= options_.least_load &&
                        after <= options_.benefit * loads_.busier();
  std::optional<EndpointRole> short_role;
  if (worth_it) {
    short_role =
        decode_is_short ? EndpointRole::kDecode : EndpointRole::kPrefill;
  }
  if (short_role != short_role_) {
    short_role_ = short_role;
    short_since_ = now;
  }
  if (!worth_it || now - short_since_ < options_.hold) return std::nullopt;
  if (ordered_at_ && now - *ordered_at_ < options_.pause) return std::nullopt;
  return Choose(
      runners, decode_is_short ? EndpointRole::kPrefill : EndpointRole::kDecode,
      now);
}

std::optional<StageOrder> StageBalancer::Choose(
    const std::vector<RunnerLoad>& runners, EndpointRole from, Time now) const {
  const RunnerLoad* idlest = nullptr;
  for (const RunnerLoad& runner : runners) {
    if (runner.role != from) continue;
    const auto ordered = runner_ordered_at_.find(runner.id);
    if (ordered != runner_ordered_at_.end() &&
        now - ordered->second < options_.runner_pause) {
      continue;
    }
    if (idlest == nullptr || runner.kv_tokens < idlest->kv_tokens) {
      idlest = &runner;
    }
  }
  if (idlest == nullptr) return std::nullopt;
  const EndpointRole to = from == EndpointRole::kPrefill
                              ? EndpointRole::kDecode
                              : EndpointRole::kPrefill;
  return StageOrder{idlest->id, to};
}

void StageBalancer::Ordered(const StageOrder& order, Time now) {
  ordered_at_ = now;
  runner_ordered_at_[order.endpoint] = now;
}

}  // namespace cassiausher
