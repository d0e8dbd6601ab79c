// Application of committed entries, and snapshots of the state.
#include "servers/configuration/replicated_state.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "core/check_invariant.h"
#include "core/json_reader.h"
#include "proto/gen/configuration.pb.h"
#include "servers/configuration/configuration_messages.h"
#include "servers/ledger/ledger_messages.h"

namespace cassiausher {
namespace {

constexpr const char* kAtRevision = "at revision";

/// Bounds the size of a record, which is kept for long, if a change has many
/// findings.
Findings TruncateFindings(const Findings& findings) {
  Findings truncated;
  for (const Finding& finding : findings.items()) {
    if (truncated.items().size() == kMaxRecordedFindings) break;
    truncated.Add(finding.place.substr(0, kMaxFindingBytes),
                  finding.message.substr(0, kMaxFindingBytes));
  }
  return truncated;
}

Findings CheckRevision(const Change& change, const Configuration& active) {
  Findings findings;
  const auto& expected = change.expected_revision;
  if (expected && *expected != active.revision) {
    findings.Add(kAtRevision,
                 fmt::format("the active revision is {}, not {}",
                             active.revision.value(), expected->value()));
  }
  return findings;
}

}  // namespace

std::uint64_t HashOf(const Configuration& configuration) {
  const std::string text = DumpConfiguration(configuration);
  return XXH3_64bits(text.data(), text.size());
}

std::string DumpConfiguration(const Configuration& configuration) {
  return DumpJson(ToJson(configuration));
}

TextHash HashOfText(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.low64, hash.high64};
}

std::string_view NameOf(ChangeState state) {
  switch (state) {
    case ChangeState::kStaged:
      return "staged";
    case ChangeState::kActive:
      return "active";
    case ChangeState::kAborted:
      return "aborted";
    case ChangeState::kRefused:
      return "refused";
  }
  return "unknown";
}

nlohmann::json ToJson(const ChangeAnswer& answer) {
  nlohmann::json findings = nlohmann::json::array();
  for (const Finding& finding : answer.findings.items()) {
    findings.push_back(
        {{"place", finding.place}, {"message", finding.message}});
  }
  return {{"accepted", answer.accepted},
          {"revision", answer.revision.value()},
          {"in_force", answer.in_force},
          {"findings", findings}};
}

ReplicatedState::ReplicatedState(ReplicatedStateOptions options)
    : options_(options), active_(std::make_shared<Configuration>()) {}

Applied ReplicatedState::Apply(std::uint64_t index, const StateEntry& entry) {
  CheckInvariant(index > applied_index_, "log entries are applied in order");
  applied_index_ = index;
  if (const auto* stage = std::get_if<StageEntry>(&entry)) {
    return Stage(index, *stage);
  }
  if (const auto* activate = std::get_if<ActivateEntry>(&entry)) {
    return Activate(*activate);
  }
  if (const auto* abort = std::get_if<AbortEntry>(&entry)) {
    return Abort(*abort);
  }
  if (const auto* confirm = std::get_if<ConfirmEntry>(&entry)) {
    return Confirm(*confirm);
  }
  const auto& ledger = std::get<LedgerEntry>(entry);
  return {.kind = AppliedKind::kLedger,
          .ledger = ledger_.Apply(ledger, CurrentLedgerLimits())};
}

std::variant<Applied, Findings> ReplicatedState::ApplyBytes(
    std::uint64_t index, std::string_view bytes) {
  auto entry = DecodeStateEntry(bytes);
  if (const auto* findings = std::get_if<Findings>(&entry)) return *findings;
  return Apply(index, std::get<StateEntry>(entry));
}

std::uint64_t ReplicatedState::active_hash() const {
  if (!active_hash_) active_hash_ = HashOf(*active_);
  return *active_hash_;
}

std::uint64_t ReplicatedState::staged_hash() const {
  CheckInvariant(staged_.has_value(), "staged_hash() requires a staged change");
  if (!staged_hash_) staged_hash_ = HashOf(*staged_->result);
  return *staged_hash_;
}

const ChangeRecord* ReplicatedState::FindRecord(const ChangeId& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

std::vector<const ChangeRecord*> ReplicatedState::Records() const {
  std::vector<const ChangeRecord*> records;
  for (const ChangeId& id : record_order_) records.push_back(FindRecord(id));
  return records;
}

std::optional<std::vector<Change>> ReplicatedState::ChangesSince(
    Revision from) const {
  const std::uint64_t active = active_->revision.value();
  if (from.value() > active) return std::nullopt;
  const std::uint64_t missing = active - from.value();
  if (missing > recent_changes_.size()) return std::nullopt;
  return std::vector<Change>(recent_changes_.end() - missing,
                             recent_changes_.end());
}

Applied ReplicatedState::Stage(std::uint64_t index, const StageEntry& entry) {
  const Change& change = entry.change;
  const std::size_t id_bytes = change.id.value().size();
  // The coordinator refuses such ids before it proposes a change.
  if (id_bytes == 0 || id_bytes > kMaxChangeIdBytes) return {};
  if (FindRecord(change.id) != nullptr) {
    return {.kind = AppliedKind::kDuplicate, .id = change.id};
  }
  if (staged_) return {.kind = AppliedKind::kBusy, .id = change.id};
  const Findings findings = CheckRevision(change, *active_);
  if (!findings.empty()) return Refuse(change, findings);
  auto applied = ApplyChange(change, *active_);
  if (const auto* faults = std::get_if<Findings>(&applied)) {
    return Refuse(change, *faults);
  }
  const auto result = std::make_shared<const Configuration>(
      std::get<Configuration>(std::move(applied)));
  staged_ = StagedChange{index, change, result};
  staged_hash_.reset();
  AddRecord({change.id, HashOfText(change.text), ChangeState::kStaged, {}});
  return {.kind = AppliedKind::kStaged, .id = change.id};
}

Applied ReplicatedState::Refuse(const Change& change, Findings findings) {
  AddRecord({change.id,
             HashOfText(change.text),
             ChangeState::kRefused,
             {false, active_->revision, false, TruncateFindings(findings)}});
  return {.kind = AppliedKind::kRefused, .id = change.id};
}

Applied ReplicatedState::Activate(const ActivateEntry& entry) {
  if (!staged_ || staged_->index != entry.stage_index) return {};
  CheckInvariant(staged_->result->revision == active_->revision + Revision(1),
                 "the revision increases by one with each activation");
  active_ = staged_->result;
  active_hash_ = staged_hash_;
  active_stage_index_ = staged_->index;
  recent_changes_.push_back(std::move(staged_->change));
  if (recent_changes_.size() > options_.max_recent_changes) {
    recent_changes_.pop_front();
  }
  staged_.reset();
  const ChangeId id = recent_changes_.back().id;
  ChangeRecord& record = records_.at(id);
  record.state = ChangeState::kActive;
  record.answer = {true, active_->revision, false, {}};
  return {.kind = AppliedKind::kActivated, .id = id};
}

Applied ReplicatedState::Abort(const AbortEntry& entry) {
  if (!staged_ || staged_->index != entry.stage_index) return {};
  const ChangeId id = staged_->change.id;
  staged_.reset();
  ChangeRecord& record = records_.at(id);
  record.state = ChangeState::kAborted;
  record.answer = {false, active_->revision, false,
                   TruncateFindings(entry.findings)};
  return {.kind = AppliedKind::kAborted, .id = id};
}

Applied ReplicatedState::Confirm(const ConfirmEntry& entry) {
  if (entry.revision > active_->revision) return {};
  confirmed_ = std::max(confirmed_, entry.revision);
  // Newest first: all changes before a confirmed one are confirmed.
  for (auto id = record_order_.rbegin(); id != record_order_.rend(); ++id) {
    ChangeRecord& record = records_.at(*id);
    if (record.state != ChangeState::kActive) continue;
    if (record.answer.revision > entry.revision) continue;
    if (record.answer.in_force) break;
    record.answer.in_force = true;
  }
  return {.kind = AppliedKind::kConfirmed};
}

void ReplicatedState::AddRecord(ChangeRecord record) {
  record_order_.push_back(record.id);
  records_[record.id] = std::move(record);
  // Only the newest record may be staged, so that evicted ones never are.
  while (record_order_.size() >
         std::max<std::size_t>(options_.max_records, 1)) {
    records_.erase(record_order_.front());
    record_order_.pop_front();
  }
}

LedgerLimits ReplicatedState::CurrentLedgerLimits() const {
  const LimitSettings& limits = active_->limits;
  return {.retention = limits.ledger_retention,
          .records = static_cast<std::size_t>(limits.ledger_records),
          .answer_bytes =
              static_cast<std::size_t>(limits.ledger_answer_bytes.value()),
          .all_answers_bytes =
              static_cast<std::size_t>(limits.ledger_bytes.value())};
}

std::string ReplicatedState::Snapshot() const {
  // With tens of thousands of records, allocation would take most of the time
  // without an arena.
  google::protobuf::Arena arena;
  auto& message =
      *google::protobuf::Arena::CreateMessage<proto::StateSnapshot>(&arena);
  message.set_applied_index(applied_index_);
  message.set_configuration(DumpConfiguration(*active_));
  message.set_confirmed_revision(confirmed_.value());
  message.set_active_stage_index(active_stage_index_);
  if (staged_) {
    message.mutable_staged()->set_index(staged_->index);
    ToProto(staged_->change, message.mutable_staged()->mutable_change());
  }
  for (const ChangeRecord* record : Records()) {
    ToProto(*record, message.add_records());
  }
  for (const Change& change : recent_changes_) {
    ToProto(change, message.add_recent_changes());
  }
  ToProto(ledger_, message.mutable_ledger());
  return message.SerializeAsString();
}

Findings ReplicatedState::Restore(std::string_view snapshot) {
  Findings findings;
  proto::StateSnapshot message;
  if (!message.ParseFromArray(snapshot.data(),
                              static_cast<int>(snapshot.size()))) {
    findings.Add("snapshot", "not a snapshot of the replicated state");
    return findings;
  }
  ReplicatedState restored(options_);
  auto active = ConfigurationFromBytes(message.configuration());
  if (const auto* faults = std::get_if<Findings>(&active)) return *faults;
  restored.applied_index_ = message.applied_index();
  restored.active_ = std::make_shared<const Configuration>(
      std::get<Configuration>(std::move(active)));
  restored.active_stage_index_ = message.active_stage_index();
  restored.confirmed_ = Revision(message.confirmed_revision());
  for (const auto& item : message.records()) {
    ChangeRecord record;
    if (!FromProto(item, &record)) {
      findings.Add("snapshot", "a change record is invalid");
      return findings;
    }
    restored.AddRecord(std::move(record));
  }
  for (const auto& item : message.recent_changes()) {
    auto change = FromProto(item, &findings);
    if (change) restored.recent_changes_.push_back(std::move(*change));
  }
  if (message.has_staged()) {
    const auto change = FromProto(message.staged().change(), &findings);
    if (!change) return findings;
    auto applied = ApplyChange(*change, *restored.active_);
    if (const auto* faults = std::get_if<Findings>(&applied)) return *faults;
    const auto result = std::make_shared<const Configuration>(
        std::get<Configuration>(std::move(applied)));
    restored.staged_ = StagedChange{message.staged().index(), *change, result};
  }
  if (!FromProto(message.ledger(), &restored.ledger_)) {
    findings.Add("snapshot", "a ledger record is invalid");
  }
  if (!findings.empty()) return findings;
  CheckInvariant(restored.active_->revision >= active_->revision,
                 "a snapshot never lowers the revision");
  *this = std::move(restored);
  return findings;
}

}  // namespace cassiausher
