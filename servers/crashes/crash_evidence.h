// Evidence of what makes endpoints crash: the calls that ended with each
// endpoint, and when calls with the same traits were answered soundly.
//
// Every instance holds a copy. Copies are merged in any order and any number of
// times with the same result, so that instances exchange changes without a
// leader, and one that has restarted or was cut off gets all that it lacks.
#ifndef SERVERS_CRASHES_CRASH_EVIDENCE_H_
#define SERVERS_CRASHES_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/crashes/call_traits.h"
#include "servers/crashes/change_log.h"

namespace cassiausher {

/// One run of an endpoint, which ends at most once.
struct EndpointRun {
  EndpointId endpoint;
  Incarnation incarnation{0};

  auto operator<=>(const EndpointRun&) const = default;
};

/// Calls that broke off at one run of an endpoint.
struct Crash {
  TraitId service{0};
  /// When the calls with these traits broke off.
  std::map<CallTraits, Time> calls;
  /// A connection to the endpoint was refused afterwards.
  bool refuses_connections = false;
  /// The endpoint answered a call that began then, so that what broke off
  /// earlier didn't end it. Null if there was no such answer.
  std::optional<Time> alive_at;
};

/// What shows that a trait is not the cause of earlier crashes.
struct TraitMark {
  /// When the latest known call with the trait was answered soundly.
  std::optional<Time> sound_at;
  /// An operator declared everything before then as settled.
  std::optional<Time> lifted_at;
};

/// Calls that have all these traits make endpoints crash.
struct Cause {
  /// Never empty. More than one if the crashes don't show which it is.
  CallTraits traits;
  /// Endpoint runs that ended, all of them with such a call.
  int crashes = 0;
  Time last_crash_at{};
  /// Crashes that followed the one before after a long time, as those of trials
  /// do.
  int renewals = 0;
};

struct CrashRecord {
  EndpointRun run;
  Crash crash;
};

struct MarkRecord {
  TraitId trait{0};
  TraitMark mark;
};

/// Which changes an instance passes on.
enum class EvidenceScope {
  kAll,
  /// What it observed itself, and what copies keep although no instance can
  /// observe it again: causes and what operators lifted.
  kObservedHere,
};

/// Records that changed, up to a revision of the sender's copy.
struct EvidenceChanges {
  /// With the calls that broke off since; with one of the others if none did.
  std::vector<CrashRecord> crashes;
  std::vector<MarkRecord> marks;
  std::vector<Cause> causes;
  std::uint64_t revision = 0;

  bool empty() const {
    return crashes.empty() && marks.empty() && causes.empty();
  }
};

struct CrashEvidenceOptions {
  /// Of a crash. Longer than the causes of a series of crashes take to show.
  Duration crash_lifetime = Seconds(120);
  /// Of a cause, from its last crash.
  Duration cause_lifetime = Seconds(900);
  /// A trait isn't suspected for crashes that follow a sound answer within this
  /// time.
  Duration sound_lifetime = Seconds(60);
  /// The oldest crash is forgotten in favour of a new one.
  std::size_t max_crashes = 128;
  /// Endpoints run some dozen calls at once, and most of them began longer ago.
  std::size_t max_calls_of_crash = 64;
  /// The cause whose last crash is the oldest is forgotten in favour of a new
  /// one.
  std::size_t max_causes = 64;
  /// A mark is renewed by an answer at least this much later.
  Duration mark_precision = Seconds(20);
};

/// Not thread safe.
class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options) : options_(options) {}

  /// A call broke off together with its connection.
  void AddCall(const EndpointRun& run, TraitId service, const CallTraits& call,
               Time now);
  /// The endpoint answered a call that began at `began`.
  void OnAlive(const EndpointRun& run, Time began);
  /// The endpoint refused a connection.
  void OnRefusedConnection(const EndpointRun& run);
  /// A call with the trait was answered soundly. Ignored unless a crash names
  /// the trait.
  void OnSound(TraitId trait, Time now);
  void Lift(const CallTraits& traits, Time now);
  /// Adds the cause, or renews it with the later crash and the higher count.
  void AddCause(const Cause& cause);
  /// Merges the records of another copy.
  void Merge(const EvidenceChanges& changes);
  /// Forgets crashes and causes that are too old, and marks that none needs.
  void Expire(Time now);

  const std::map<EndpointRun, Crash>& crashes() const { return crashes_; }
  /// Null if there is none.
  const TraitMark* FindMark(TraitId trait) const;
  /// Runs that broke off calls at or after `since`, refuse connections and have
  /// answered nothing since.
  std::set<EndpointRun> RefusingSince(Time since) const;
  /// Those of the traits that may have caused a crash at `crashed_at`.
  CallTraits Suspected(const CallTraits& traits, Time crashed_at) const;
  /// Known causes, without the traits that were cleared since, and without
  /// those that another one includes.
  std::vector<Cause> ActiveCauses() const;
  /// Traits that crashes and causes name.
  const std::set<TraitId>& suspects() const { return suspects_; }

  /// Increases with each change.
  std::uint64_t revision() const { return log_.revision(); }
  /// What changed after `revision`, oldest first, up to `max_traits` traits.
  EvidenceChanges ChangedSince(std::uint64_t revision, std::size_t max_traits,
                               EvidenceScope scope) const;

 private:
  /// A call that broke off at a run.
  struct BrokenCallKey {
    EndpointRun run;
    CallTraits call;

    auto operator<=>(const BrokenCallKey&) const = default;
  };
  /// A run stands for what is known of it besides its calls; traits for a
  /// cause.
  using Key = std::variant<EndpointRun, BrokenCallKey, TraitId, CallTraits>;

  Crash* FindOrAdd(const EndpointRun& run, TraitId service, Time at);
  void MergeCrash(const CrashRecord& record, bool observed_here);
  void MergeMark(const MarkRecord& record);
  /// Forgets the changes of a crash that is about to be forgotten.
  void EraseChanges(const EndpointRun& run, const Crash& crash);
  void ForgetOldestCause();
  void AddSuspects(const CallTraits& traits) {
    suspects_.insert(traits.begin(), traits.end());
  }
  void CollectSuspects();

  CrashEvidenceOptions options_;
  /// Invariant: at most `max_crashes`, each with at least one call.
  std::map<EndpointRun, Crash> crashes_;
  std::map<TraitId, TraitMark> marks_;
  /// By their traits. Invariant: at most `max_causes`.
  std::map<CallTraits, Cause> causes_;
  /// Those of `crashes_` and `causes_`, and until Expire() of what was
  /// forgotten in favour of newer ones.
  std::set<TraitId> suspects_;
  /// Changes of exactly the records above.
  ChangeLog<Key> log_;
};

/// Times of another instance are later here by the delay of its messages. A
/// smaller difference is no change, so that copies don't pass one time back and
/// forth.
inline constexpr Duration kTransferSlack = Milliseconds(500);

/// Whether the endpoint answered a call that began after `broken_at`.
bool IsRefuted(Time broken_at, const Crash& crash);
/// When the first call of the crash broke off that `alive_at` doesn't refute;
/// null if there is none.
std::optional<Time> CrashedAt(const Crash& crash);

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_CRASH_EVIDENCE_H_
