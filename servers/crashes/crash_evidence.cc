#include "servers/crashes/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiausher {
namespace {

bool IsLater(const std::optional<Time>& received,
             const std::optional<Time>& known, Duration precision) {
  if (!received.has_value()) return false;
  return !known.has_value() || *received - *known > precision;
}

// A call that broke off earlier than the known one doesn't count as later news,
// unless the known one was refuted.
bool MergeCall(const CallTraits& call, Time broken_at, Crash* crash) {
  const auto [found, added] = crash->calls.try_emplace(call, broken_at);
  if (added) return true;
  const bool supersedes =
      IsRefuted(found->second, *crash) && !IsRefuted(broken_at, *crash);
  if (supersedes) found->second = broken_at;
  return supersedes;
}

// Collects changed records, those of one run of an endpoint together.
class ChangesBuilder {
 public:
  explicit ChangesBuilder(const std::map<EndpointRun, Crash>& crashes)
      : crashes_(crashes) {}

  void AddRun(const EndpointRun& run) { RecordOf(run); }

  void AddCall(const EndpointRun& run, const CallTraits& call) {
    CrashRecord& record = RecordOf(run);
    record.crash.calls[call] = crashes_.at(run).calls.at(call);
    traits_ += call.size();
  }

  void AddMark(MarkRecord record) {
    changes_.marks.push_back(std::move(record));
    ++traits_;
  }

  void AddCause(const Cause& cause) {
    changes_.causes.push_back(cause);
    traits_ += cause.traits.size();
  }

  std::size_t traits() const { return traits_; }

  EvidenceChanges Build(std::uint64_t revision) && {
    for (CrashRecord& record : changes_.crashes) {
      if (!record.crash.calls.empty()) continue;
      // Earlier builds ignore a crash without calls.
      record.crash.calls.insert(*crashes_.at(record.run).calls.begin());
    }
    changes_.revision = revision;
    return std::move(changes_);
  }

 private:
  CrashRecord& RecordOf(const EndpointRun& run) {
    const auto [found, added] =
        positions_.try_emplace(run, changes_.crashes.size());
    if (added) {
      const Crash& crash = crashes_.at(run);
      changes_.crashes.push_back(
          {run,
           {.service = crash.service,
            .refuses_connections = crash.refuses_connections,
            .alive_at = crash.alive_at}});
      ++traits_;
    }
    return changes_.crashes[found->second];
  }

  const std::map<EndpointRun, Crash>& crashes_;
  EvidenceChanges changes_;
  /// Of the runs' records in `changes_.crashes`.
  std::map<EndpointRun, std::size_t> positions_;
  std::size_t traits_ = 0;
};

}  // namespace

bool IsRefuted(Time broken_at, const Crash& crash) {
  return crash.alive_at.has_value() && broken_at < *crash.alive_at;
}

std::optional<Time> CrashedAt(const Crash& crash) {
  std::optional<Time> first;
  for (const auto& [call, broken_at] : crash.calls) {
    if (IsRefuted(broken_at, crash)) continue;
    if (!first.has_value() || broken_at < *first) first = broken_at;
  }
  return first;
}

Crash* CrashEvidence::FindOrAdd(const EndpointRun& run, TraitId service,
                                Time at) {
  const auto known = crashes_.find(run);
  if (known != crashes_.end()) return &known->second;
  if (crashes_.size() >= options_.max_crashes) {
    const auto oldest = std::min_element(
        crashes_.begin(), crashes_.end(), [](const auto& a, const auto& b) {
          return a.second.calls.begin()->second <
                 b.second.calls.begin()->second;
        });
    // Another copy may send a crash again that was forgotten here.
    if (at <= oldest->second.calls.begin()->second) return nullptr;
    EraseChanges(oldest->first, oldest->second);
    crashes_.erase(oldest);
  }
  Crash& crash = crashes_[run];
  crash.service = service;
  return &crash;
}

void CrashEvidence::AddCall(const EndpointRun& run, TraitId service,
                            const CallTraits& call, Time now) {
  MergeCrash({run, {.service = service, .calls = {{call, now}}}},
             /*observed_here=*/true);
}

void CrashEvidence::OnAlive(const EndpointRun& run, Time began) {
  const auto found = crashes_.find(run);
  if (found == crashes_.end()) return;
  const std::optional<Time> crashed_at = CrashedAt(found->second);
  if (!crashed_at.has_value() || *crashed_at >= began) return;
  found->second.alive_at = began;
  log_.Add(run, /*observed_here=*/true);
}

void CrashEvidence::OnRefusedConnection(const EndpointRun& run) {
  const auto found = crashes_.find(run);
  if (found == crashes_.end() || found->second.refuses_connections) return;
  found->second.refuses_connections = true;
  log_.Add(run, /*observed_here=*/true);
}

void CrashEvidence::OnSound(TraitId trait, Time now) {
  if (!suspects_.contains(trait)) return;
  TraitMark& mark = marks_[trait];
  if (!IsLater(now, mark.sound_at, options_.mark_precision)) return;
  mark.sound_at = now;
  log_.Add(trait, /*observed_here=*/true);
}

void CrashEvidence::Lift(const CallTraits& traits, Time now) {
  for (const TraitId trait : traits) {
    marks_[trait].lifted_at = now;
    log_.Add(trait, /*observed_here=*/true);
  }
}

void CrashEvidence::Merge(const EvidenceChanges& changes) {
  for (const CrashRecord& record : changes.crashes) {
    MergeCrash(record, /*observed_here=*/false);
  }
  for (const MarkRecord& record : changes.marks) MergeMark(record);
  for (const Cause& cause : changes.causes) AddCause(cause);
}

void CrashEvidence::AddCause(const Cause& cause) {
  if (cause.traits.empty()) return;
  const bool known = causes_.contains(cause.traits);
  if (!known && causes_.size() >= options_.max_causes) ForgetOldestCause();
  Cause& record = causes_[cause.traits];
  record.traits = cause.traits;
  const bool later =
      cause.last_crash_at - record.last_crash_at > kTransferSlack;
  const bool higher =
      cause.crashes > record.crashes || cause.renewals > record.renewals;
  if (!later && !higher) return;
  if (later) record.last_crash_at = cause.last_crash_at;
  record.crashes = std::max(record.crashes, cause.crashes);
  record.renewals = std::max(record.renewals, cause.renewals);
  log_.Add(cause.traits, /*observed_here=*/true);
  AddSuspects(cause.traits);
}

void CrashEvidence::ForgetOldestCause() {
  const auto oldest = std::min_element(
      causes_.begin(), causes_.end(), [](const auto& a, const auto& b) {
        return a.second.last_crash_at < b.second.last_crash_at;
      });
  log_.Erase(oldest->first);
  causes_.erase(oldest);
}

void CrashEvidence::MergeCrash(const CrashRecord& record, bool observed_here) {
  const std::optional<Time> at = CrashedAt(record.crash);
  if (!at.has_value() && !crashes_.contains(record.run)) return;
  Crash* crash =
      FindOrAdd(record.run, record.crash.service, at.value_or(Time{}));
  if (crash == nullptr) return;
  bool changed = false;
  if (IsLater(record.crash.alive_at, crash->alive_at, kTransferSlack)) {
    crash->alive_at = record.crash.alive_at;
    changed = true;
  }
  for (const auto& [call, broken_at] : record.crash.calls) {
    const bool full = crash->calls.size() >= options_.max_calls_of_crash;
    if (full && !crash->calls.contains(call)) continue;
    if (MergeCall(call, broken_at, crash)) {
      log_.Add(BrokenCallKey{record.run, call}, observed_here);
    }
    AddSuspects(call);
  }
  if (record.crash.refuses_connections && !crash->refuses_connections) {
    crash->refuses_connections = true;
    changed = true;
  }
  if (changed) log_.Add(record.run, observed_here);
}

void CrashEvidence::EraseChanges(const EndpointRun& run, const Crash& crash) {
  log_.Erase(run);
  for (const auto& [call, broken_at] : crash.calls) {
    log_.Erase(BrokenCallKey{run, call});
  }
}

void CrashEvidence::MergeMark(const MarkRecord& record) {
  TraitMark& mark = marks_[record.trait];
  const bool sound =
      IsLater(record.mark.sound_at, mark.sound_at, options_.mark_precision);
  const bool lifted =
      IsLater(record.mark.lifted_at, mark.lifted_at, kTransferSlack);
  if (sound) mark.sound_at = record.mark.sound_at;
  if (lifted) mark.lifted_at = record.mark.lifted_at;
  if (sound || lifted) log_.Add(record.trait, /*observed_here=*/lifted);
}

void CrashEvidence::Expire(Time now) {
  std::erase_if(crashes_, [&](const auto& item) {
    const Time first = CrashedAt(item.second).value_or(Time{});
    if (now - first < options_.crash_lifetime) return false;
    EraseChanges(item.first, item.second);
    return true;
  });
  std::erase_if(causes_, [&](const auto& item) {
    if (now - item.second.last_crash_at < options_.cause_lifetime) return false;
    log_.Erase(item.first);
    return true;
  });
  CollectSuspects();
  std::erase_if(marks_, [&](const auto& item) {
    if (suspects_.contains(item.first)) return false;
    log_.Erase(item.first);
    return true;
  });
}

const TraitMark* CrashEvidence::FindMark(TraitId trait) const {
  const auto found = marks_.find(trait);
  return found == marks_.end() ? nullptr : &found->second;
}

CallTraits CrashEvidence::Suspected(const CallTraits& traits,
                                    Time crashed_at) const {
  CallTraits suspected;
  std::copy_if(
      traits.begin(), traits.end(), std::back_inserter(suspected),
      [&](TraitId trait) {
        const TraitMark* mark = FindMark(trait);
        if (mark == nullptr) return true;
        const Time sound_until =
            mark->sound_at.value_or(Time::min() + options_.sound_lifetime) +
            options_.sound_lifetime;
        const bool lifted = mark->lifted_at && crashed_at <= *mark->lifted_at;
        return !lifted && crashed_at > sound_until;
      });
  return suspected;
}

std::set<EndpointRun> CrashEvidence::RefusingSince(Time since) const {
  std::set<EndpointRun> refusing;
  for (const auto& [run, crash] : crashes_) {
    const std::optional<Time> crashed_at = CrashedAt(crash);
    const bool recent = crashed_at.has_value() && *crashed_at >= since;
    if (recent && crash.refuses_connections) refusing.insert(run);
  }
  return refusing;
}

std::vector<Cause> CrashEvidence::ActiveCauses() const {
  std::vector<Cause> active;
  for (const auto& [traits, cause] : causes_) {
    Cause reduced = cause;
    reduced.traits = Suspected(traits, cause.last_crash_at);
    if (!reduced.traits.empty()) active.push_back(std::move(reduced));
  }
  // A cause with fewer traits comes first and includes those with more.
  std::stable_sort(active.begin(), active.end(),
                   [](const Cause& a, const Cause& b) {
                     return a.traits.size() < b.traits.size();
                   });
  std::vector<Cause> distinct;
  for (Cause& cause : active) {
    const bool included =
        std::any_of(distinct.begin(), distinct.end(), [&](const Cause& other) {
          return ContainsAll(cause.traits, other.traits);
        });
    if (!included) distinct.push_back(std::move(cause));
  }
  return distinct;
}

void CrashEvidence::CollectSuspects() {
  suspects_.clear();
  for (const auto& [run, crash] : crashes_) {
    for (const auto& [call, broken_at] : crash.calls) AddSuspects(call);
  }
  for (const auto& [traits, cause] : causes_) AddSuspects(traits);
}

EvidenceChanges CrashEvidence::ChangedSince(std::uint64_t revision,
                                            std::size_t max_traits,
                                            EvidenceScope scope) const {
  ChangesBuilder builder(crashes_);
  const auto& changes = log_.changes();
  for (auto it = changes.upper_bound(revision); it != changes.end(); ++it) {
    const auto& [changed_at, change] = *it;
    if (scope == EvidenceScope::kObservedHere && !change.observed_here) {
      continue;
    }
    if (builder.traits() >= max_traits) {
      return std::move(builder).Build(changed_at - 1);
    }
    const Key& key = change.key;
    if (const auto* run = std::get_if<EndpointRun>(&key)) {
      builder.AddRun(*run);
    } else if (const auto* call = std::get_if<BrokenCallKey>(&key)) {
      builder.AddCall(call->run, call->call);
    } else if (const auto* trait = std::get_if<TraitId>(&key)) {
      builder.AddMark({*trait, marks_.at(*trait)});
    } else {
      builder.AddCause(causes_.at(std::get<CallTraits>(key)));
    }
  }
  return std::move(builder).Build(log_.revision());
}

}  // namespace cassiausher
