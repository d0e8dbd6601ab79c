#include "servers/control/stage_balancer.h"

#include <cmath>

namespace cassiausher {

namespace {

// Loads observed for a shorter time, about a second, say nothing.
constexpr double kLeastWeight = 0.2;

// Prompts wait for each other at a runner, so that L of them at each runner on
// average mean that it works for L / (1 + L) of the time (M/M/1 queue).
double Utilisation(double requests, int runners) {
  return requests / (requests + runners);
}

}  // namespace

void StageBalancer::Smooth(const Work& sample, Time now) {
  const double passed = ToSeconds(now - sampled_at_.value_or(now));
  const double kept =
      weight_ * std::exp(-passed / ToSeconds(options_.smoothing));
  const double added = 1 - std::exp(-passed / ToSeconds(options_.smoothing));
  weight_ = kept + added;
  sampled_at_ = now;
  if (weight_ <= 0) return;
  work_.prompts = (kept * work_.prompts + added * sample.prompts) / weight_;
  work_.kv_tokens =
      (kept * work_.kv_tokens + added * sample.kv_tokens) / weight_;
}

bool StageBalancer::Relieves(const Counts& counts, EndpointRole to) const {
  const bool to_decode = to == EndpointRole::kDecode;
  const int donors = to_decode ? counts.prefill : counts.decode;
  const int takers = to_decode ? counts.decode : counts.prefill;
  if (donors <= options_.least_runners) return false;
  const double donor_load = to_decode ? loads_.prefill : loads_.decode;
  const double taker_load = to_decode ? loads_.decode : loads_.prefill;
  const double taker_limit = to_decode ? options_.least_decode_overload
                                       : options_.least_prefill_overload;
  const double donor_limit =
      to_decode ? options_.most_prefill_after : options_.most_decode_after;
  if (taker_load < taker_limit) return false;
  const double donor_after = donor_load * donors / (donors - 1);
  if (donor_after >= donor_limit) return false;
  const double taker_after = taker_load * takers / (takers + 1);
  const double after = std::fmax(donor_after, taker_after);
  return after <= options_.benefit * taker_load;
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

Duration StageBalancer::Hold(const Counts& counts,
                             EndpointRole short_role) const {
  if (short_role == EndpointRole::kPrefill) return options_.prefill_hold;
  return HasSparePrefill(counts) ? options_.spare_hold : options_.hold;
}

std::optional<StageOrder> StageBalancer::Step(
    const std::vector<RunnerLoad>& runners, Tokens kv_capacity, Time now) {
  Counts counts;
  Work work;
  for (const RunnerLoad& runner : runners) {
    if (runner.role == EndpointRole::kPrefill) {
      ++counts.prefill;
      work.prompts += runner.requests;
    } else if (runner.role == EndpointRole::kDecode) {
      ++counts.decode;
      work.kv_tokens += static_cast<double>(runner.kv_tokens.value());
    }
  }
  if (counts.prefill == 0 || counts.decode == 0) return std::nullopt;
  if (kv_capacity.value() <= 0) return std::nullopt;
  const double usable = static_cast<double>(kv_capacity.value()) *
                        options_.usable_memory * counts.decode;
  Smooth(work, now);
  loads_ = {Utilisation(work_.prompts, counts.prefill),
            work_.kv_tokens / usable};

  if (weight_ < kLeastWeight) return std::nullopt;

  const std::optional<EndpointRole> short_role = ShortRole(counts);
  if (short_role != short_role_) {
    short_role_ = short_role;
    short_since_ = now;
  }
  if (!short_role.has_value()) return std::nullopt;
  if (now - short_since_ < Hold(counts, *short_role)) return std::nullopt;
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

void StageBalancer::OnOrderUndelivered(const StageOrder& order) {
  // The runner itself is passed over for its own pause.
  if (runner_ordered_at_.contains(order.endpoint)) ordered_at_.reset();
}

void StageBalancer::OnOrderSent(const StageOrder& order, Time now) {
  ordered_at_ = now;
  runner_ordered_at_[order.endpoint] = now;
}

}  // namespace cassiausher
