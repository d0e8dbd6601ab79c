#include "servers/control/stage_balancer.h"

#include <cmath>

namespace cassiausher {

namespace {

// Below this weight, which samples reach after about a second, the loads are
// too uncertain to act on.
constexpr double kMinTotalWeight = 0.2;

// Each prefill runner is an M/M/1 queue of prompts: with L requests per runner
// on average, it is busy for L / (1 + L) of the time.
double Utilisation(double requests, int runners) {
  return requests / (requests + runners);
}

// The inverse of Utilisation().
double RequestsAt(double utilisation, int runners) {
  return utilisation / (1 - utilisation) * runners;
}

}  // namespace

void StageBalancer::Smooth(const Work& sample, Time now) {
  const double elapsed = ToSeconds(now - sampled_at_.value_or(now));
  const double kept_weight =
      total_weight_ * std::exp(-elapsed / ToSeconds(options_.smoothing_time));
  const double added_weight =
      1 - std::exp(-elapsed / ToSeconds(options_.smoothing_time));
  total_weight_ = kept_weight + added_weight;
  sampled_at_ = now;
  if (total_weight_ <= 0) return;
  work_.prompts =
      (kept_weight * work_.prompts + added_weight * sample.prompts) /
      total_weight_;
  work_.streams =
      (kept_weight * work_.streams + added_weight * sample.streams) /
      total_weight_;
  work_.kv_tokens =
      (kept_weight * work_.kv_tokens + added_weight * sample.kv_tokens) /
      total_weight_;
}

bool StageBalancer::RelievesOverload(const Counts& counts,
                                     EndpointRole to) const {
  const bool to_decode = to == EndpointRole::kDecode;
  const int donors = to_decode ? counts.prefill : counts.decode;
  const int receivers = to_decode ? counts.decode : counts.prefill;
  if (donors <= options_.min_runners_per_stage) return false;
  const double donor_load = to_decode ? loads_.prefill : loads_.decode;
  const double receiver_load = to_decode ? loads_.decode : loads_.prefill;
  const double receiver_limit = to_decode ? options_.decode_overload_threshold
                                          : options_.prefill_overload_threshold;
  const double donor_limit = to_decode ? options_.max_prefill_load_after
                                       : options_.max_decode_load_after;
  if (receiver_load < receiver_limit) return false;
  const double receiver_after = receiver_load * receivers / (receivers + 1);
  const double donor_after = to_decode
                                 ? donor_load * donors / (donors - 1)
                                 : KvTokensAt(receiver_after, receivers + 1) /
                                       (usable_tokens_ * (donors - 1));
  const bool restores_minimum =
      !to_decode && receivers < options_.min_runners_per_stage;
  if (restores_minimum) {
    return donor_after < options_.max_decode_load_for_minimum;
  }
  if (donor_after >= donor_limit) return false;
  const double after = std::fmax(donor_after, receiver_after);
  return after <= options_.max_load_ratio * receiver_load;
}

double StageBalancer::KvTokensAt(double prefill_load,
                                 int prefill_runners) const {
  if (work_.streams <= 0) return work_.kv_tokens;
  const double waiting = RequestsAt(prefill_load, prefill_runners);
  const double relieved = std::fmax(0, work_.prompts - waiting);
  const double remaining = std::fmax(0, work_.streams - relieved);
  return work_.kv_tokens * remaining / work_.streams;
}

bool StageBalancer::HasSparePrefillRunner(const Counts& counts) const {
  const int all = counts.prefill + counts.decode;
  const double min_remaining =
      std::fmax(options_.min_prefill_runners, options_.min_prefill_share * all);
  if (counts.prefill - 1 < min_remaining) return false;
  if (loads_.highest() < options_.idle_load) {
    return counts.prefill > options_.idle_prefill_share * all;
  }
  const double after = loads_.prefill * counts.prefill / (counts.prefill - 1);
  return after <= options_.max_prefill_load_without_spare &&
         loads_.decode >= options_.min_decode_load_for_spare;
}

std::optional<EndpointRole> StageBalancer::NeededRole(
    const Counts& counts) const {
  if (HasSparePrefillRunner(counts)) return EndpointRole::kDecode;
  const EndpointRole busier = loads_.decode > loads_.prefill
                                  ? EndpointRole::kDecode
                                  : EndpointRole::kPrefill;
  if (RelievesOverload(counts, busier)) return busier;
  // Streams that wait for prefill add to the load of decode.
  if (RelievesOverload(counts, EndpointRole::kPrefill)) {
    return EndpointRole::kPrefill;
  }
  return std::nullopt;
}

Duration StageBalancer::Hold(const Counts& counts,
                             EndpointRole needed_role) const {
  if (needed_role == EndpointRole::kPrefill) return options_.prefill_hold;
  return HasSparePrefillRunner(counts) ? options_.spare_hold
                                       : options_.decode_hold;
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
      work.streams += runner.requests;
      work.kv_tokens += static_cast<double>(runner.kv_tokens.value());
    }
  }
  if (counts.prefill == 0 || counts.decode == 0) return std::nullopt;
  if (kv_capacity.value() <= 0) return std::nullopt;
  usable_tokens_ =
      static_cast<double>(kv_capacity.value()) * options_.usable_memory_share;
  Smooth(work, now);
  loads_ = {Utilisation(work_.prompts, counts.prefill),
            work_.kv_tokens / (usable_tokens_ * counts.decode)};

  if (total_weight_ < kMinTotalWeight) return std::nullopt;

  const std::optional<EndpointRole> needed_role = NeededRole(counts);
  if (needed_role != needed_role_) {
    needed_role_ = needed_role;
    needed_since_ = now;
  }
  if (!needed_role.has_value()) return std::nullopt;
  if (now - needed_since_ < Hold(counts, *needed_role)) return std::nullopt;
  if (ordered_at_ && now - *ordered_at_ < options_.service_cooldown)
    return std::nullopt;
  const EndpointRole from = *needed_role == EndpointRole::kDecode
                                ? EndpointRole::kPrefill
                                : EndpointRole::kDecode;
  return ChooseRunner(runners, from, now);
}

std::optional<StageOrder> StageBalancer::ChooseRunner(
    const std::vector<RunnerLoad>& runners, EndpointRole from, Time now) const {
  const RunnerLoad* least_loaded = nullptr;
  for (const RunnerLoad& runner : runners) {
    if (runner.role != from) continue;
    const auto ordered = runner_ordered_at_.find(runner.id);
    if (ordered != runner_ordered_at_.end() &&
        now - ordered->second < options_.runner_cooldown) {
      continue;
    }
    if (least_loaded == nullptr || runner.kv_tokens < least_loaded->kv_tokens) {
      least_loaded = &runner;
    }
  }
  if (least_loaded == nullptr) return std::nullopt;
  const EndpointRole to = from == EndpointRole::kPrefill
                              ? EndpointRole::kDecode
                              : EndpointRole::kPrefill;
  return StageOrder{least_loaded->id, to};
}

void StageBalancer::OnOrderUndelivered(const StageOrder& order) {
  // The runner itself is still skipped for `runner_cooldown`.
  if (runner_ordered_at_.contains(order.endpoint)) ordered_at_.reset();
}

void StageBalancer::OnOrderSent(const StageOrder& order, Time now) {
  ordered_at_ = now;
  runner_ordered_at_[order.endpoint] = now;
}

}  // namespace cassiausher
