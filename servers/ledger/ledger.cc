// State transitions of the idempotency records.
#include "servers/ledger/ledger.h"

#include <algorithm>
#include <utility>

namespace cassiausher {
namespace {

std::size_t TextBytes(const LedgerClaim& claim) {
  // Counted twice: account and key are also stored in the key of the map.
  return 2 * (claim.key.account.value().size() + claim.key.key.value().size()) +
         claim.instance.value().size() + claim.request.value().size();
}

std::size_t AnswerBytes(const RecordedAnswer& answer) {
  return answer.body.size() + answer.content_type.size();
}

}  // namespace

LedgerAnswer Ledger::Apply(const LedgerEntry& entry,
                           const LedgerLimits& limits) {
  if (const auto* claim = std::get_if<LedgerClaim>(&entry)) {
    return Claim(*claim, limits);
  }
  if (const auto* result = std::get_if<LedgerResult>(&entry)) {
    Finish(*result, limits);
  } else if (const auto* lost = std::get_if<LedgerInstanceLost>(&entry)) {
    MarkInstanceLost(*lost);
  } else if (const auto* expiry = std::get_if<LedgerExpiry>(&entry)) {
    Expire(*expiry, limits);
  }
  return std::monostate();
}

const LedgerRecord* Ledger::Find(const LedgerKey& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second.record;
}

std::map<InstanceId, Incarnation> Ledger::ClaimHolders() const {
  std::map<InstanceId, Incarnation> holders;
  for (const auto& [key, slot] : records_) {
    if (slot.record.state != RecordState::kClaimed) continue;
    const LedgerClaim& claim = slot.record.claim;
    const auto [holder, is_new] =
        holders.emplace(claim.instance, claim.incarnation);
    holder->second = std::min(holder->second, claim.incarnation);
  }
  return holders;
}

std::size_t Ledger::MemoryBytes() const {
  return records_.size() * kRecordOverheadBytes + text_bytes_ + answers_bytes_;
}

LedgerAnswer Ledger::Claim(const LedgerClaim& claim,
                           const LedgerLimits& limits) {
  // A claim that was in flight when its instance died must not hold the key.
  if (IsLost(claim)) return ClaimRefused{LedgerRefusal::kReleased};
  const auto found = records_.find(claim.key);
  if (found != records_.end()) return ClaimExisting(claim, &found->second);
  if (records_.size() >= limits.records) {
    return ClaimRefused{LedgerRefusal::kLedgerFull};
  }
  Insert(claim, RecordState::kClaimed);
  return RunRequest();
}

LedgerAnswer Ledger::ClaimExisting(const LedgerClaim& claim, Slot* slot) {
  LedgerRecord& record = slot->record;
  const auto& released = record.released;
  if (std::find(released.begin(), released.end(), claim.request) !=
      released.end()) {
    return ClaimRefused{LedgerRefusal::kReleased};
  }
  if (record.state == RecordState::kNotRun) {
    text_bytes_ += TextBytes(claim) - TextBytes(record.claim);
    record.claim = claim;
    SetState(slot, RecordState::kClaimed);
    return RunRequest();
  }
  if (record.claim.body_hash != claim.body_hash) {
    return ClaimRefused{LedgerRefusal::kOtherBody};
  }
  switch (record.state) {
    case RecordState::kClaimed:
      // A duplicate claim of the same request, which has not run yet.
      if (record.claim == claim) return RunRequest();
      return AttachToRequest{record.claim.instance, record.claim.incarnation,
                             record.claim.request};
    case RecordState::kCompleted:
      return ReplayAnswer{record.answer};
    case RecordState::kUnknown:
    case RecordState::kNotRun:
      break;
  }
  return OutcomeUnknown();
}

void Ledger::Finish(const LedgerResult& result, const LedgerLimits& limits) {
  const auto found = records_.find(result.key);
  if (found == records_.end()) {
    // A release can be applied before its claim. Without this record the later
    // claim would hold the key although no instance runs the request.
    if (result.state != RecordState::kNotRun) return;
    if (records_.size() >= limits.records) return;
    LedgerClaim claim;
    claim.key = result.key;
    Release(&Insert(claim, RecordState::kNotRun), result.request);
    return;
  }
  Slot* slot = &found->second;
  LedgerRecord& record = slot->record;
  if (record.claim.request != result.request) {
    if (result.state == RecordState::kNotRun) Release(slot, result.request);
    return;
  }
  const bool is_open = record.state == RecordState::kClaimed ||
                       record.state == RecordState::kUnknown;
  if (!is_open) return;
  switch (result.state) {
    case RecordState::kCompleted:
      SetAnswer(slot, result.answer, limits);
      SetState(slot, RecordState::kCompleted);
      return;
    case RecordState::kNotRun:
      Release(slot, result.request);
      SetState(slot, RecordState::kNotRun);
      return;
    case RecordState::kUnknown:
      SetState(slot, RecordState::kUnknown);
      return;
    case RecordState::kClaimed:
      return;
  }
}

void Ledger::MarkInstanceLost(const LedgerInstanceLost& lost) {
  LostInstance& known = lost_[lost.instance];
  known.incarnation = std::max(known.incarnation, lost.incarnation);
  known.stamp = clock_;
  for (auto& [key, slot] : records_) {
    const LedgerRecord& record = slot.record;
    if (record.state != RecordState::kClaimed) continue;
    if (IsLost(record.claim)) SetState(&slot, RecordState::kUnknown);
  }
}

void Ledger::Expire(const LedgerExpiry& expiry, const LedgerLimits& limits) {
  clock_ += std::max(expiry.elapsed, Duration(0));
  for (auto oldest = by_age_.begin(); oldest != by_age_.end();) {
    const LedgerRecord& record = oldest->second->record;
    if (clock_ - record.stamp < limits.retention) break;
    ++oldest;
    // A request in progress keeps its claim until its result or the loss of its
    // instance is applied.
    if (record.state == RecordState::kClaimed) continue;
    Erase(records_.find(record.claim.key));
  }
  std::erase_if(lost_, [&](const auto& item) {
    return clock_ - item.second.stamp >= limits.retention;
  });
}

bool Ledger::IsLost(const LedgerClaim& claim) const {
  const auto found = lost_.find(claim.instance);
  return found != lost_.end() && claim.incarnation <= found->second.incarnation;
}

Ledger::Slot& Ledger::Insert(const LedgerClaim& claim, RecordState state) {
  Slot& slot = records_[claim.key];
  slot.record.claim = claim;
  text_bytes_ += TextBytes(claim);
  SetState(&slot, state);
  return slot;
}

void Ledger::SetState(Slot* slot, RecordState state) {
  by_age_.erase(slot->age);
  slot->age = next_age_++;
  by_age_[slot->age] = slot;
  slot->record.state = state;
  slot->record.stamp = clock_;
}

void Ledger::SetAnswer(Slot* slot, RecordedAnswer answer,
                       const LedgerLimits& limits) {
  const std::size_t bytes = AnswerBytes(answer);
  if (!answer.kept || bytes > limits.answer_bytes ||
      answers_bytes_ + bytes > limits.all_answers_bytes) {
    answer.body.clear();
    answer.content_type.clear();
    answer.kept = false;
  }
  answers_bytes_ += AnswerBytes(answer);
  slot->record.answer = std::move(answer);
}

void Ledger::Release(Slot* slot, const RequestId& request) {
  auto& released = slot->record.released;
  if (std::find(released.begin(), released.end(), request) != released.end()) {
    return;
  }
  released.push_back(request);
  text_bytes_ += request.value().size();
  if (released.size() <= kMaxReleased) return;
  text_bytes_ -= released.front().value().size();
  released.erase(released.begin());
}

void Ledger::Erase(Records::iterator position) {
  const Slot& slot = position->second;
  answers_bytes_ -= AnswerBytes(slot.record.answer);
  text_bytes_ -= TextBytes(slot.record.claim);
  for (const RequestId& request : slot.record.released) {
    text_bytes_ -= request.value().size();
  }
  by_age_.erase(slot.age);
  records_.erase(position);
}

std::vector<const LedgerRecord*> Ledger::RecordsByAge() const {
  std::vector<const LedgerRecord*> records;
  records.reserve(by_age_.size());
  for (const auto& [age, slot] : by_age_) records.push_back(&slot->record);
  return records;
}

void Ledger::Restore(Duration clock, std::vector<LedgerRecord> records,
                     std::map<InstanceId, LostInstance> lost) {
  *this = Ledger();
  clock_ = clock;
  lost_ = std::move(lost);
  for (LedgerRecord& record : records) {
    Slot& slot = Insert(record.claim, record.state);
    answers_bytes_ += AnswerBytes(record.answer);
    for (const RequestId& request : record.released) {
      text_bytes_ += request.value().size();
    }
    slot.record = std::move(record);
  }
}

bool Ledger::operator==(const Ledger& other) const {
  const auto mine = RecordsByAge();
  const auto theirs = other.RecordsByAge();
  return clock_ == other.clock_ && lost_ == other.lost_ &&
         answers_bytes_ == other.answers_bytes_ &&
         text_bytes_ == other.text_bytes_ &&
         std::equal(mine.begin(), mine.end(), theirs.begin(), theirs.end(),
                    [](const auto* a, const auto* b) { return *a == *b; });
}

}  // namespace cassiausher
