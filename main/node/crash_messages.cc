#include "main/node/crash_messages.h"

#include <algorithm>
#include <utility>

#include "main/node/message_age.h"

namespace cassiausher {
namespace {

// More crashes make no difference, and a larger number could overflow.
constexpr std::uint32_t kMaxCount = 1000000;

using TraitValues = google::protobuf::RepeatedField<std::uint64_t>;

void WriteTraits(const CallTraits& traits, TraitValues* values) {
  for (const TraitId trait : traits) values->Add(trait.value());
}

// Empty if there are too many.
CallTraits ReadTraits(const TraitValues& values) {
  if (values.size() > static_cast<int>(kMaxTraitsOfCall)) return {};
  std::vector<TraitId> traits;
  for (const std::uint64_t value : values) traits.emplace_back(value);
  return MakeCallTraits(std::move(traits));
}

int ReadCount(std::uint32_t count) {
  return static_cast<int>(std::min(count, kMaxCount));
}

void WriteCrash(const CrashRecord& record, Time now, proto::Crash* message) {
  message->set_endpoint(record.run.endpoint.value());
  message->set_born_ms(record.run.incarnation.value());
  message->set_service(record.crash.service.value());
  message->set_refuses_connections(record.crash.refuses_connections);
  if (record.crash.alive_at.has_value()) {
    message->set_alive_age_ms(AgeInMs(*record.crash.alive_at, now));
  }
  for (const auto& [traits, broken_at] : record.crash.calls) {
    proto::BrokenCall* call = message->add_calls();
    WriteTraits(traits, call->mutable_traits());
    call->set_age_ms(AgeInMs(broken_at, now));
  }
}

CrashRecord ReadCrash(const proto::Crash& message, Time now) {
  CrashRecord record;
  record.run = {EndpointId(message.endpoint()), Incarnation(message.born_ms())};
  record.crash.service = TraitId(message.service());
  record.crash.refuses_connections = message.refuses_connections();
  if (message.has_alive_age_ms()) {
    record.crash.alive_at = TimeOfAge(message.alive_age_ms(), now);
  }
  for (const proto::BrokenCall& call : message.calls()) {
    CallTraits traits = ReadTraits(call.traits());
    if (traits.empty()) continue;
    record.crash.calls[std::move(traits)] = TimeOfAge(call.age_ms(), now);
  }
  return record;
}

void WriteMark(const MarkRecord& record, Time now, proto::TraitMark* message) {
  message->set_trait(record.trait.value());
  if (record.mark.sound_at.has_value()) {
    message->set_sound_age_ms(AgeInMs(*record.mark.sound_at, now));
  }
  if (record.mark.lifted_at.has_value()) {
    message->set_lifted_age_ms(AgeInMs(*record.mark.lifted_at, now));
  }
}

MarkRecord ReadMark(const proto::TraitMark& message, Time now) {
  MarkRecord record{.trait = TraitId(message.trait())};
  if (message.has_sound_age_ms()) {
    record.mark.sound_at = TimeOfAge(message.sound_age_ms(), now);
  }
  if (message.has_lifted_age_ms()) {
    record.mark.lifted_at = TimeOfAge(message.lifted_age_ms(), now);
  }
  return record;
}

}  // namespace

void WriteEvidence(const EvidenceChanges& changes, Time now,
                   proto::CrashEvidence* message) {
  for (const CrashRecord& record : changes.crashes) {
    WriteCrash(record, now, message->add_crashes());
  }
  for (const MarkRecord& record : changes.marks) {
    WriteMark(record, now, message->add_marks());
  }
  for (const Cause& cause : changes.causes) {
    proto::CrashCause* record = message->add_causes();
    WriteTraits(cause.traits, record->mutable_traits());
    record->set_crashes(static_cast<std::uint32_t>(cause.crashes));
    record->set_renewals(static_cast<std::uint32_t>(cause.renewals));
    record->set_last_crash_age_ms(AgeInMs(cause.last_crash_at, now));
  }
  message->set_revision(changes.revision);
}

EvidenceChanges ReadEvidence(const proto::CrashEvidence& message, Time now) {
  EvidenceChanges changes{.revision = message.revision()};
  for (const proto::Crash& crash : message.crashes()) {
    CrashRecord record = ReadCrash(crash, now);
    const bool usable =
        !record.run.endpoint.empty() && !record.crash.calls.empty();
    if (usable) changes.crashes.push_back(std::move(record));
  }
  for (const proto::TraitMark& mark : message.marks()) {
    changes.marks.push_back(ReadMark(mark, now));
  }
  for (const proto::CrashCause& cause : message.causes()) {
    CallTraits traits = ReadTraits(cause.traits());
    if (traits.empty()) continue;
    changes.causes.push_back(
        {.traits = std::move(traits),
         .crashes = ReadCount(cause.crashes()),
         .last_crash_at = TimeOfAge(cause.last_crash_age_ms(), now),
         .renewals = ReadCount(cause.renewals())});
  }
  return changes;
}

}  // namespace cassiausher
