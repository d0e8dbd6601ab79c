#include "servers/crashes/cause_search.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cassiausher {
namespace {

/// A crash that no cause explains yet.
struct OpenCrash {
  EndpointRun run;
  TraitId service{0};
  Time at{};
  /// The suspected traits of each call that may have caused it.
  std::vector<CallTraits> calls;
};

bool HasCallWith(const OpenCrash& crash, const CallTraits& traits) {
  return std::any_of(
      crash.calls.begin(), crash.calls.end(),
      [&](const CallTraits& call) { return ContainsAll(call, traits); });
}

CallTraits Intersection(const CallTraits& a, const CallTraits& b) {
  CallTraits common;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(common));
  return common;
}

class CauseSearch {
 public:
  CauseSearch(const CrashEvidence& evidence, const CallTally& tally,
              const CauseSearchOptions& options, Time now)
      : evidence_(evidence), tally_(tally), options_(options), now_(now) {
    for (const auto& [run, crash] : evidence.crashes()) AddOpen(run, crash);
  }

  std::vector<Cause> Run() {
    std::vector<Cause> causes;
    for (const Cause& known : evidence_.ActiveCauses()) {
      Cause renewed = known;
      Explain(known.last_crash_at + kTransferSlack, &renewed);
      if (renewed.crashes == known.crashes) continue;
      const Duration calm = renewed.last_crash_at - known.last_crash_at;
      if (calm > options_.renewal_time) ++renewed.renewals;
      causes.push_back(renewed);
    }
    while (const std::optional<TraitId> trait = MostFrequentCause()) {
      Cause cause{.traits = CommonTraits(*trait)};
      Explain(Time{}, &cause);
      causes.push_back(std::move(cause));
    }
    return causes;
  }

 private:
  void AddOpen(const EndpointRun& run, const Crash& crash) {
    const std::optional<Time> at = CrashedAt(crash);
    const Duration settling = crash.refuses_connections
                                  ? options_.short_settling_time
                                  : options_.settling_time;
    if (!at.has_value() || now_ - *at < settling) return;
    OpenCrash open{.run = run, .service = crash.service, .at = *at};
    for (const auto& [call, broken_at] : crash.calls) {
      if (IsRefuted(broken_at, crash)) continue;
      CallTraits suspects = evidence_.Suspected(call, broken_at);
      if (!suspects.empty()) open.calls.push_back(std::move(suspects));
    }
    open_.push_back(std::move(open));
  }

  /// A suspected trait and the crashes with calls that have it.
  struct Candidate {
    TraitId trait;
    TraitId service{0};
    /// Positions in `open_`.
    std::set<std::size_t> crashes;
  };

  std::optional<TraitId> MostFrequentCause() const {
    const std::vector<Candidate> candidates = Candidates();
    for (const Candidate& candidate : candidates) {
      if (Count(candidate) < options_.min_crashes) break;
      if (MayBeChance(candidate) || IsUndecided(candidate, candidates))
        continue;
      return candidate.trait;
    }
    return std::nullopt;
  }

  static int Count(const Candidate& candidate) {
    return static_cast<int>(candidate.crashes.size());
  }

  /// Those with most crashes first.
  std::vector<Candidate> Candidates() const {
    std::map<TraitId, Candidate> by_trait;
    for (std::size_t i = 0; i < open_.size(); ++i) {
      for (const CallTraits& call : open_[i].calls) {
        for (const TraitId trait : call) {
          Candidate& candidate = by_trait[trait];
          candidate.trait = trait;
          candidate.service = open_[i].service;
          candidate.crashes.insert(i);
        }
      }
    }
    std::vector<Candidate> candidates;
    for (auto& [trait, candidate] : by_trait) {
      candidates.push_back(std::move(candidate));
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate& a, const Candidate& b) {
                       return a.crashes.size() > b.crashes.size();
                     });
    return candidates;
  }

  /// No call with the trait was answered, as that would have cleared it. Were
  /// it sound, each of its calls would have ended with its endpoint by chance.
  bool MayBeChance(const Candidate& candidate) const {
    const auto is_explained = [&](const EndpointRun& run) {
      const auto found = std::find_if(
          open_.begin(), open_.end(),
          [&](const OpenCrash& crash) { return crash.run == run; });
      return found == open_.end() || HasCallWith(*found, {candidate.trait});
    };
    const double probability =
        tally_.CrashProbability(candidate.service, is_explained);
    return std::pow(probability, Count(candidate)) > options_.max_chance;
  }

  /// Whether a trait of other calls explains as many crashes, of which some are
  /// the same. The next crash shows which of them is the cause.
  bool IsUndecided(const Candidate& candidate,
                   const std::vector<Candidate>& candidates) const {
    if (Count(candidate) >= options_.decisive_crashes) return false;
    const CallTraits common = CommonTraits(candidate.trait);
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const Candidate& rival) {
                         return Count(rival) >= Count(candidate) &&
                                !ContainsAll(common, {rival.trait}) &&
                                ShareOne(candidate.crashes, rival.crashes);
                       });
  }

  static bool ShareOne(const std::set<std::size_t>& a,
                       const std::set<std::size_t>& b) {
    return std::any_of(a.begin(), a.end(),
                       [&b](std::size_t item) { return b.contains(item); });
  }

  /// The traits that all calls with `trait` have in common.
  CallTraits CommonTraits(TraitId trait) const {
    std::optional<CallTraits> common;
    for (const OpenCrash& crash : open_) {
      for (const CallTraits& call : crash.calls) {
        if (!ContainsAll(call, {trait})) continue;
        common = common.has_value() ? Intersection(*common, call) : call;
      }
    }
    return common.value_or(CallTraits{trait});
  }

  /// Closes the crashes with such a call, and counts those after `counted`.
  void Explain(Time counted, Cause* cause) {
    std::erase_if(open_, [&](const OpenCrash& crash) {
      if (!HasCallWith(crash, cause->traits)) return false;
      if (crash.at > counted) {
        ++cause->crashes;
        cause->last_crash_at = std::max(cause->last_crash_at, crash.at);
      }
      return true;
    });
  }

  const CrashEvidence& evidence_;
  const CallTally& tally_;
  const CauseSearchOptions& options_;
  Time now_;
  std::vector<OpenCrash> open_;
};

}  // namespace

std::vector<Cause> FindCauses(const CrashEvidence& evidence,
                              const CallTally& tally,
                              const CauseSearchOptions& options, Time now) {
  return CauseSearch(evidence, tally, options, now).Run();
}

}  // namespace cassiausher
