// Conversions between values and protobuf messages. Enum values and oneof
// cases of incoming messages are checked here, names and ranges by
// ApplyChange().
#include "servers/configuration/configuration_messages.h"

#include <fmt/format.h>

#include <utility>

#include "core/json_reader.h"
#include "proto/gen/configuration.pb.h"
#include "servers/ledger/ledger_messages.h"

namespace cassiausher {
namespace {

constexpr const char* kMessagePlace = "configuration message";
constexpr const char* kEntryPlace = "log entry";

Findings Invalid(const char* place, std::string message) {
  Findings findings;
  findings.Add(place, std::move(message));
  return findings;
}

void WriteValue(const Value& value, proto::ConfigurationValue* message) {
  if (const auto* boolean = std::get_if<bool>(&value)) {
    message->set_boolean(*boolean);
  } else if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    message->set_integer(*integer);
  } else if (const auto* number = std::get_if<double>(&value)) {
    message->set_number(*number);
  } else if (const auto* duration = std::get_if<Duration>(&value)) {
    message->set_duration_us(duration->count());
  } else if (const auto* text = std::get_if<std::string>(&value)) {
    message->set_text(*text);
  } else {
    message->mutable_strings();
    for (const auto& item : std::get<std::vector<std::string>>(value)) {
      message->mutable_strings()->add_items(item);
    }
  }
}

std::optional<Value> ReadValue(const proto::ConfigurationValue& message) {
  using Message = proto::ConfigurationValue;
  switch (message.held_case()) {
    case Message::kBoolean:
      return Value(message.boolean());
    case Message::kInteger:
      return Value(std::int64_t{message.integer()});
    case Message::kNumber:
      return Value(message.number());
    case Message::kDurationUs:
      return Value(Duration(message.duration_us()));
    case Message::kText:
      return Value(message.text());
    case Message::kStrings: {
      const auto& items = message.strings().items();
      return Value(std::vector<std::string>(items.begin(), items.end()));
    }
    case Message::HELD_NOT_SET:
      break;
  }
  return std::nullopt;
}

void WriteOperation(const Operation& operation,
                    proto::ConfigurationOperation* message) {
  message->set_kind(static_cast<std::uint32_t>(operation.kind));
  message->set_object(static_cast<std::uint32_t>(operation.object));
  message->set_name(operation.name);
  message->set_field(operation.field);
  WriteValue(operation.value, message->mutable_value());
  message->set_line(static_cast<std::uint32_t>(operation.place.line));
  message->set_column(static_cast<std::uint32_t>(operation.place.column));
}

std::optional<Operation> ReadOperation(
    const proto::ConfigurationOperation& message) {
  const auto last_kind =
      static_cast<std::uint32_t>(OperationKind::kRemoveVoter);
  const auto last_object = static_cast<std::uint32_t>(ObjectKind::kVoter);
  if (message.kind() < 1 || message.kind() > last_kind) return std::nullopt;
  if (message.object() < 1 || message.object() > last_object) {
    return std::nullopt;
  }
  auto value = ReadValue(message.value());
  if (!value) return std::nullopt;
  return Operation{
      static_cast<OperationKind>(message.kind()),
      static_cast<ObjectKind>(message.object()),
      message.name(),
      message.field(),
      std::move(*value),
      {static_cast<int>(message.line()), static_cast<int>(message.column())}};
}

template <typename Message>
void WriteFindings(const Findings& findings, Message* message) {
  for (const Finding& finding : findings.items()) {
    auto* item = message->add_findings();
    item->set_place(finding.place);
    item->set_message(finding.message);
  }
}

template <typename Message>
Findings ReadFindings(const Message& message) {
  Findings findings;
  for (const auto& item : message.findings()) {
    findings.Add(item.place(), item.message());
  }
  return findings;
}

void Write(const Follow& follow, proto::ConfigurationMessage* message) {
  auto* body = message->mutable_follow();
  body->set_instance(follow.instance.value());
  body->set_data_centre(follow.data_centre.value());
  body->set_incarnation(follow.incarnation.value());
  body->set_sequence(follow.sequence);
  body->set_has_configuration(follow.has_configuration);
  body->set_active_revision(follow.active.value());
  body->set_staged_index(follow.staged_index);
  body->set_wants_snapshot(follow.wants_snapshot);
}

Follow Read(const proto::ConfigurationFollow& body) {
  return {InstanceId(body.instance()),
          DataCentreId(body.data_centre()),
          Incarnation(body.incarnation()),
          body.sequence(),
          body.has_configuration(),
          Revision(body.active_revision()),
          body.staged_index(),
          body.wants_snapshot()};
}

void Write(const Stage& stage, proto::ConfigurationMessage* message) {
  auto* body = message->mutable_stage();
  body->set_stage_index(stage.stage_index);
  body->set_base_revision(stage.base.value());
  ToProto(stage.change, body->mutable_change());
  body->set_result_hash(stage.result_hash);
}

void Write(const Staged& staged, proto::ConfigurationMessage* message) {
  auto* body = message->mutable_staged();
  body->set_instance(staged.instance.value());
  body->set_incarnation(staged.incarnation.value());
  body->set_stage_index(staged.stage_index);
  body->set_active_revision(staged.active.value());
}

Staged Read(const proto::ConfigurationStaged& body) {
  return {InstanceId(body.instance()), Incarnation(body.incarnation()),
          body.stage_index(), Revision(body.active_revision())};
}

void Write(const Activate& activate, proto::ConfigurationMessage* message) {
  auto* body = message->mutable_activate();
  body->set_revision(activate.revision.value());
  body->set_stage_index(activate.stage_index);
  body->set_hash(activate.hash);
  body->set_follow_sequence(activate.follow_sequence);
  body->set_follow_incarnation(activate.follow_incarnation.value());
  body->set_lease_us(activate.lease.count());
  for (const Change& change : activate.changes) {
    ToProto(change, body->add_changes());
  }
  body->set_snapshot(activate.snapshot);
}

void Write(const Activated& activated, proto::ConfigurationMessage* message) {
  auto* body = message->mutable_activated();
  body->set_instance(activated.instance.value());
  body->set_incarnation(activated.incarnation.value());
  body->set_active_revision(activated.active.value());
}

Activated Read(const proto::ConfigurationActivated& body) {
  return {InstanceId(body.instance()), Incarnation(body.incarnation()),
          Revision(body.active_revision())};
}

std::variant<ConfigurationMessage, Findings> ReadStage(
    const proto::ConfigurationStage& body) {
  Findings findings;
  auto change = FromProto(body.change(), &findings);
  if (!change) return findings;
  return Stage{body.stage_index(), Revision(body.base_revision()),
               std::move(*change), body.result_hash()};
}

std::variant<ConfigurationMessage, Findings> ReadActivate(
    const proto::ConfigurationActivate& body) {
  Findings findings;
  Activate activate;
  activate.revision = Revision(body.revision());
  activate.stage_index = body.stage_index();
  activate.hash = body.hash();
  activate.follow_sequence = body.follow_sequence();
  activate.follow_incarnation = Incarnation(body.follow_incarnation());
  activate.lease = Duration(body.lease_us());
  activate.snapshot = body.snapshot();
  for (const auto& item : body.changes()) {
    auto change = FromProto(item, &findings);
    if (change) activate.changes.push_back(std::move(*change));
  }
  if (!findings.empty()) return findings;
  return activate;
}

}  // namespace

void ToProto(const Change& change, proto::ConfigurationChange* message) {
  message->set_id(change.id.value());
  if (change.expected_revision) {
    message->set_expected_revision(change.expected_revision->value());
  }
  for (const Operation& operation : change.operations) {
    WriteOperation(operation, message->add_operations());
  }
  message->set_text(change.text);
}

std::optional<Change> FromProto(const proto::ConfigurationChange& message,
                                Findings* findings) {
  Change change;
  change.id = ChangeId(message.id());
  change.text = message.text();
  if (message.has_expected_revision()) {
    change.expected_revision = Revision(message.expected_revision());
  }
  for (const auto& item : message.operations()) {
    auto operation = ReadOperation(item);
    if (!operation) {
      findings->Add(fmt::format("operation {} of change \"{}\"",
                                change.operations.size() + 1, message.id()),
                    "not an operation that this version supports");
      return std::nullopt;
    }
    change.operations.push_back(std::move(*operation));
  }
  return change;
}

void ToProto(const ChangeRecord& record, proto::StateChangeRecord* message) {
  message->set_id(record.id.value());
  message->set_text_hash_low(record.text.low);
  message->set_text_hash_high(record.text.high);
  message->set_state(static_cast<std::uint32_t>(record.state));
  // `accepted` isn't stored; it follows from the state.
  message->set_revision(record.answer.revision.value());
  message->set_in_force(record.answer.in_force);
  WriteFindings(record.answer.findings, message);
}

bool FromProto(const proto::StateChangeRecord& message, ChangeRecord* record) {
  const auto last = static_cast<std::uint32_t>(ChangeState::kRefused);
  if (message.state() < 1 || message.state() > last) return false;
  record->id = ChangeId(message.id());
  record->text = {message.text_hash_low(), message.text_hash_high()};
  record->state = static_cast<ChangeState>(message.state());
  record->answer = {record->state == ChangeState::kActive,
                    Revision(message.revision()), message.in_force(),
                    ReadFindings(message)};
  return true;
}

std::string EncodeMessage(const ConfigurationMessage& message) {
  proto::ConfigurationMessage encoded;
  std::visit([&](const auto& body) { Write(body, &encoded); }, message);
  return encoded.SerializeAsString();
}

std::variant<ConfigurationMessage, Findings> DecodeMessage(
    std::string_view bytes) {
  using Message = proto::ConfigurationMessage;
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Invalid(kMessagePlace, "not a configuration message");
  }
  switch (message.body_case()) {
    case Message::kFollow:
      return Read(message.follow());
    case Message::kStage:
      return ReadStage(message.stage());
    case Message::kStaged:
      return Read(message.staged());
    case Message::kActivate:
      return ReadActivate(message.activate());
    case Message::kActivated:
      return Read(message.activated());
    case Message::BODY_NOT_SET:
      break;
  }
  return Invalid(kMessagePlace, "the message has no body");
}

std::string EncodeStateEntry(const StateEntry& entry) {
  proto::StateEntry message;
  if (const auto* stage = std::get_if<StageEntry>(&entry)) {
    ToProto(stage->change, message.mutable_stage()->mutable_change());
  } else if (const auto* activate = std::get_if<ActivateEntry>(&entry)) {
    message.mutable_activate()->set_stage_index(activate->stage_index);
  } else if (const auto* abort = std::get_if<AbortEntry>(&entry)) {
    message.mutable_abort()->set_stage_index(abort->stage_index);
    WriteFindings(abort->findings, message.mutable_abort());
  } else if (const auto* confirm = std::get_if<ConfirmEntry>(&entry)) {
    message.mutable_confirm()->set_revision(confirm->revision.value());
  } else {
    ToProto(std::get<LedgerEntry>(entry), message.mutable_ledger());
  }
  return message.SerializeAsString();
}

std::variant<StateEntry, Findings> DecodeStateEntry(std::string_view bytes) {
  using Message = proto::StateEntry;
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Invalid(kEntryPlace, "not an entry of the replicated state");
  }
  switch (message.entry_case()) {
    case Message::kStage: {
      Findings findings;
      auto change = FromProto(message.stage().change(), &findings);
      if (!change) return findings;
      return StageEntry{std::move(*change)};
    }
    case Message::kActivate:
      return ActivateEntry{message.activate().stage_index()};
    case Message::kAbort:
      return AbortEntry{message.abort().stage_index(),
                        ReadFindings(message.abort())};
    case Message::kConfirm:
      return ConfirmEntry{Revision(message.confirm().revision())};
    case Message::kLedger: {
      auto entry = FromProto(message.ledger());
      if (!entry) return Invalid(kEntryPlace, "the ledger entry is invalid");
      return std::move(*entry);
    }
    case Message::ENTRY_NOT_SET:
      break;
  }
  return Invalid(kEntryPlace,
                 "the entry is of a kind that this version doesn't support");
}

Activate AnswerFollow(const ReplicatedState& state, const Follow& follow) {
  Activate activate;
  activate.revision = state.active()->revision;
  activate.stage_index = state.active_stage_index();
  activate.hash = state.active_hash();
  activate.follow_sequence = follow.sequence;
  activate.follow_incarnation = follow.incarnation;
  if (follow.has_configuration && follow.active >= activate.revision) {
    return activate;
  }
  auto changes = state.ChangesSince(follow.active);
  if (changes && follow.has_configuration && !follow.wants_snapshot) {
    activate.changes = std::move(*changes);
  } else {
    activate.snapshot = DumpConfiguration(*state.active());
  }
  return activate;
}

std::variant<Configuration, Findings> ConfigurationFromBytes(
    std::string_view bytes) {
  const auto json = ParseJson(bytes);
  if (json.is_discarded()) return Invalid("configuration", "not JSON");
  return ConfigurationFromJson(json);
}

}  // namespace cassiausher
