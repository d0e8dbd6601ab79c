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

bool StageBalancer::Relieves(const Counts& counts, EndpointRole to) const {
  const bool to_decode = to == EndpointRole::kDecode;
  const int donors = to_decode ? counts.prefill : counts.decode;
  const int takers = to_decode ? counts.decode : counts.prefill;
  if (donors <= options_.least_runners) return false;
  if (loads_.busier() < options_.least_load) return false;
  const double donor_load = to_decode ? loads_.prefill : loads_.decode;
  const double taker_load = to_decode ? loads_.decode : loads_.prefill;
  const double donor_after = donor_load * donors / (donors - 1);
  const double taker_after = taker_load * takers / (takers + 1);
  const double after = std::fmax(donor_after, taker_after);
  return after <= options_.benefit * loads_.busier();
}

bool StageBalancer::HasSparePrefill(const Counts& counts) const {
  const int all = counts.prefill + counts.decode;
  const double safe = std::fmax(options_.safe_prefill_runners,
                                options_.safe_prefill_share * all);
  if (counts.prefill - 1 < safe) return false;
  if (loads_.busier() < options_.idle_load) {
    return counts.prefill > options_.idle_prefill_share * all;
  }
  const double after = loads_.prefill * counts.prefill / (counts.prefill - 1);
  return after <= options_.most_spare_load &&
         loads_.decode >= options_.least_decode_load;
}

std::optional<EndpointRole> StageBalancer::ShortRole(
    const Counts& counts) const {
  if (HasSparePrefill(counts)) return EndpointRole::kDecode;
  const EndpointRole busier = loads_.decode > loads_.prefill
                                  ? EndpointRole::kDecode
                                  : EndpointRole::kPrefill;
  if (Relieves(counts, busier)) return busier;
  return std::nullopt;
}

std::optional<StageOrder> StageBalancer::Step(
    const std::vector<RunnerLoad>& runners, Tokens kv_capacity, Time now) {
  Counts counts;
  int reading = 0;
  double memory = 0;
  for (const RunnerLoad& runner : runners) {
    if (runner.role == EndpointRole::kPrefill) {
      ++counts.prefill;
      reading += runner.requests;
    } else if (runner.role == EndpointRole::kDecode) {
      ++counts.decode;
      memory += static_cast<double>(runner.kv_tokens.value());
    }
  }
  if (counts.prefill == 0 || counts.decode == 0) return std::nullopt;
  if (kv_capacity.value() <= 0) return std::nullopt;
  const double usable = static_cast<double>(kv_capacity.value()) *
                        options_.usable_memory * counts.decode;
  Smooth({static_cast<double>(reading) / counts.prefill, memory / usable}, now);

  const std::optional<EndpointRole> short_role = ShortRole(counts);
  if (short_role != short_role_) {
    short_role_ = short_role;
    short_since_ = now;
  }
  if (!short_role.has_value()) return std::nullopt;
  const Duration hold =
      HasSparePrefill(counts) ? options_.spare_hold : options_.hold;
  if (now - short_since_ < hold) return std::nullopt;
  if (ordered_at_ && now - *ordered_at_ < options_.pause) return std::nullopt;
  const EndpointRole from = *short_role == EndpointRole::kDecode
                                ? EndpointRole::kPrefill
                                : EndpointRole::kDecode;
  return Choose(runners, from, now);
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
