// The state machine on top of the replicated log: the active configuration, the
// staged change, the answers to recorded change ids and the ledger. Replicas
// that applied the same entries hold the same state.
#ifndef SERVERS_CONFIGURATION_REPLICATED_STATE_H_
#define SERVERS_CONFIGURATION_REPLICATED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/units.h"
#include "servers/configuration/change.h"
#include "servers/configuration/configuration.h"
#include "servers/ledger/ledger.h"

namespace cassiausher {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// Hash of the JSON form; equal on all instances for equal configurations.
std::uint64_t HashOf(const Configuration& configuration);
/// The JSON form as text. Invalid UTF-8 in names is replaced and doesn't throw.
std::string DumpConfiguration(const Configuration& configuration);

/// Proposes a change. Committed refusals are recorded as well, so that a
/// repeated id gets the same answer.
struct StageEntry {
  Change change;
};
/// The staged change becomes the active configuration.
struct ActivateEntry {
  /// Log index of the stage entry.
  std::uint64_t stage_index = 0;
};
struct AbortEntry {
  std::uint64_t stage_index = 0;
  /// Name the data centres that didn't acknowledge.
  Findings findings;
};
/// Every data centre that isn't excluded runs `revision` or a later one.
struct ConfirmEntry {
  Revision revision{0};
};

using StateEntry = std::variant<StageEntry, ActivateEntry, AbortEntry,
                                ConfirmEntry, LedgerEntry>;

/// Protobuf encoding of the entries in the log.
std::string EncodeStateEntry(const StateEntry& entry);
std::variant<StateEntry, Findings> DecodeStateEntry(std::string_view bytes);

/// Outcome of a change, as the admin API returns it to the operator.
struct ChangeAnswer {
  bool accepted = false;
  /// Revision after the change, or the active one at the refusal.
  Revision revision{0};
  bool in_force = false;
  Findings findings;
};

nlohmann::json ToJson(const ChangeAnswer& answer);

/// The numbers are part of snapshots; never reuse one.
enum class ChangeState {
  kStaged = 1,
  kActive = 2,
  kAborted = 3,
  kRefused = 4,
};
std::string_view NameOf(ChangeState state);

/// 128-bit hash of the change's text: two texts of one id don't collide in
/// practice, and the record stays small.
struct TextHash {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  bool operator==(const TextHash&) const = default;
};
TextHash HashOfText(std::string_view text);

struct ChangeRecord {
  ChangeId id;
  TextHash text;
  ChangeState state = ChangeState::kStaged;
  /// Final once `state` is not kStaged, except that `in_force` may change once
  /// from false to true.
  ChangeAnswer answer;
};

struct StagedChange {
  std::uint64_t index = 0;
  Change change;
  ConfigurationPointer result;
};

/// Effect of applying an entry.
enum class AppliedKind {
  kIgnored,  ///< Superseded by an earlier entry, or invalid.
  kStaged,
  kBusy,       ///< Another change is staged; not recorded.
  kDuplicate,  ///< The id is recorded; its record has the answer.
  kRefused,
  kActivated,
  kAborted,
  kConfirmed,
  kLedger,
};

struct Applied {
  AppliedKind kind = AppliedKind::kIgnored;
  /// Id of the affected change.
  ChangeId id;
  /// Answer to a ledger claim.
  LedgerAnswer ledger;
};

struct ReplicatedStateOptions {
  /// Change ids kept with their answers: 64 days at the target of 390 changes
  /// a day.
  std::size_t max_records = 25000;
  /// Activated changes kept for instances that lag slightly; others get a
  /// snapshot of the configuration.
  std::size_t max_recent_changes = 64;
};

/// Longer ids are refused; bounds the memory of a record.
constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::size_t kMaxRecordedFindings = 32;
constexpr std::size_t kMaxFindingBytes = 512;

/// Not thread safe; one task owns it.
class ReplicatedState {
 public:
  explicit ReplicatedState(ReplicatedStateOptions options = {});

  /// Applies the committed entry at `index`. Indexes strictly increase; gaps
  /// are log entries that carry no state.
  Applied Apply(std::uint64_t index, const StateEntry& entry);
  /// The same for an encoded entry. Returns findings and leaves the state
  /// unchanged if the bytes are invalid.
  std::variant<Applied, Findings> ApplyBytes(std::uint64_t index,
                                             std::string_view bytes);

  /// Never null. Its revision never decreases.
  const ConfigurationPointer& active() const { return active_; }
  std::uint64_t active_hash() const;
  /// Hash of the staged change's result; requires a staged change.
  std::uint64_t staged_hash() const;
  /// Log index of the stage entry that led to the active configuration.
  std::uint64_t active_stage_index() const { return active_stage_index_; }
  const std::optional<StagedChange>& staged() const { return staged_; }
  /// Highest revision that is in force in every data centre that isn't
  /// excluded.
  Revision confirmed() const { return confirmed_; }
  std::uint64_t applied_index() const { return applied_index_; }

  /// Null if the id isn't recorded.
  const ChangeRecord* FindRecord(const ChangeId& id) const;
  /// Oldest first.
  std::vector<const ChangeRecord*> Records() const;
  /// Active changes that lead from `from` to the active revision, oldest
  /// first, or nothing if one of them is no longer kept.
  std::optional<std::vector<Change>> ChangesSince(Revision from) const;

  const Ledger& ledger() const { return ledger_; }

  std::string Snapshot() const;
  /// Replaces the state. Returns findings and leaves it unchanged if the
  /// snapshot is invalid.
  Findings Restore(std::string_view snapshot);

 private:
  Applied Stage(std::uint64_t index, const StageEntry& entry);
  Applied Refuse(const Change& change, Findings findings);
  Applied Activate(const ActivateEntry& entry);
  Applied Abort(const AbortEntry& entry);
  Applied Confirm(const ConfirmEntry& entry);
  void AddRecord(ChangeRecord record);
  LedgerLimits CurrentLedgerLimits() const;

  ReplicatedStateOptions options_;
  std::uint64_t applied_index_ = 0;
  ConfigurationPointer active_;
  /// Computed on first use: replaying the log at startup needs no hashes.
  mutable std::optional<std::uint64_t> active_hash_;
  mutable std::optional<std::uint64_t> staged_hash_;
  std::uint64_t active_stage_index_ = 0;
  Revision confirmed_{0};
  std::optional<StagedChange> staged_;
  std::map<ChangeId, ChangeRecord> records_;
  /// Ids of `records_`, oldest first.
  std::deque<ChangeId> record_order_;
  /// The last one leads to the active revision.
  std::deque<Change> recent_changes_;
  Ledger ledger_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_REPLICATED_STATE_H_
