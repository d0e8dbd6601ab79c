// Conversions between ledger types and their protobuf messages.
#include "servers/ledger/ledger_messages.h"

#include <set>
#include <utility>

#include "proto/gen/ledger.pb.h"

namespace cassiausher {
namespace {

bool IsRecordState(std::uint32_t number) {
  return number >= static_cast<std::uint32_t>(RecordState::kClaimed) &&
         number <= static_cast<std::uint32_t>(RecordState::kNotRun);
}

void WriteClaim(const LedgerClaim& claim, proto::LedgerClaimEntry* message) {
  message->set_account(claim.key.account.value());
  message->set_key(claim.key.key.value());
  message->set_instance(claim.instance.value());
  message->set_incarnation(claim.incarnation.value());
  message->set_request(claim.request.value());
  message->set_body_hash(claim.body_hash);
}

LedgerClaim ReadClaim(const proto::LedgerClaimEntry& message) {
  return {{AccountId(message.account()), IdempotencyKey(message.key())},
          InstanceId(message.instance()),
          Incarnation(message.incarnation()),
          RequestId(message.request()),
          message.body_hash()};
}

void WriteResult(const LedgerResult& result,
                 proto::LedgerResultEntry* message) {
  message->set_account(result.key.account.value());
  message->set_key(result.key.key.value());
  message->set_request(result.request.value());
  message->set_state(static_cast<std::uint32_t>(result.state));
  message->set_status(static_cast<std::uint32_t>(result.answer.status));
  message->set_content_type(result.answer.content_type);
  message->set_answer(result.answer.body);
  message->set_answer_kept(result.answer.kept);
}

std::optional<LedgerResult> ReadResult(
    const proto::LedgerResultEntry& message) {
  if (!IsRecordState(message.state())) return std::nullopt;
  return LedgerResult{
      {AccountId(message.account()), IdempotencyKey(message.key())},
      RequestId(message.request()),
      static_cast<RecordState>(message.state()),
      {static_cast<int>(message.status()), message.content_type(),
       message.answer(), message.answer_kept()}};
}

std::optional<LedgerRecord> ReadRecord(
    const proto::LedgerRecordEntry& message) {
  const auto result = ReadResult(message.result());
  if (!result) return std::nullopt;
  LedgerRecord record;
  record.claim = ReadClaim(message.claim());
  record.state = result->state;
  record.answer = result->answer;
  record.stamp = Duration(message.stamp_us());
  for (const std::string& request : message.released()) {
    record.released.emplace_back(request);
  }
  return record;
}

}  // namespace

void ToProto(const LedgerEntry& entry, proto::LedgerEntry* message) {
  if (const auto* claim = std::get_if<LedgerClaim>(&entry)) {
    WriteClaim(*claim, message->mutable_claim());
  } else if (const auto* result = std::get_if<LedgerResult>(&entry)) {
    WriteResult(*result, message->mutable_result());
  } else if (const auto* lost = std::get_if<LedgerInstanceLost>(&entry)) {
    message->mutable_instance_lost()->set_instance(lost->instance.value());
    message->mutable_instance_lost()->set_incarnation(
        lost->incarnation.value());
  } else if (const auto* expiry = std::get_if<LedgerExpiry>(&entry)) {
    message->mutable_expiry()->set_elapsed_us(expiry->elapsed.count());
  }
}

std::optional<LedgerEntry> FromProto(const proto::LedgerEntry& message) {
  switch (message.entry_case()) {
    case proto::LedgerEntry::kClaim:
      return ReadClaim(message.claim());
    case proto::LedgerEntry::kResult:
      return ReadResult(message.result());
    case proto::LedgerEntry::kInstanceLost:
      return LedgerInstanceLost{
          InstanceId(message.instance_lost().instance()),
          Incarnation(message.instance_lost().incarnation())};
    case proto::LedgerEntry::kExpiry:
      return LedgerExpiry{Duration(message.expiry().elapsed_us())};
    case proto::LedgerEntry::ENTRY_NOT_SET:
      break;
  }
  return std::nullopt;
}

void ToProto(const Ledger& ledger, proto::LedgerSnapshot* message) {
  message->set_clock_us(ledger.clock().count());
  for (const LedgerRecord* record : ledger.RecordsByAge()) {
    auto* item = message->add_records();
    WriteClaim(record->claim, item->mutable_claim());
    WriteResult({record->claim.key, record->claim.request, record->state,
                 record->answer},
                item->mutable_result());
    item->set_stamp_us(record->stamp.count());
    for (const RequestId& request : record->released) {
      item->add_released(request.value());
    }
  }
  for (const auto& [instance, lost] : ledger.lost()) {
    auto* item = message->add_lost();
    item->set_instance(instance.value());
    item->set_incarnation(lost.incarnation.value());
    item->set_stamp_us(lost.stamp.count());
  }
}

bool FromProto(const proto::LedgerSnapshot& message, Ledger* ledger) {
  std::vector<LedgerRecord> records;
  std::set<LedgerKey> keys;
  for (const auto& item : message.records()) {
    auto record = ReadRecord(item);
    if (!record) return false;
    if (!keys.insert(record->claim.key).second) return false;
    records.push_back(std::move(*record));
  }
  std::map<InstanceId, LostInstance> lost;
  for (const auto& item : message.lost()) {
    lost[InstanceId(item.instance())] = {Incarnation(item.incarnation()),
                                         Duration(item.stamp_us())};
  }
  ledger->Restore(Duration(message.clock_us()), std::move(records),
                  std::move(lost));
  return true;
}

std::string EncodeLedgerEntry(const LedgerEntry& entry) {
  proto::LedgerEntry message;
  ToProto(entry, &message);
  return message.SerializeAsString();
}

std::optional<LedgerEntry> DecodeLedgerEntry(std::string_view bytes) {
  proto::LedgerEntry message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  return FromProto(message);
}

std::string EncodeLedgerAnswer(const LedgerAnswer& answer) {
  using Message = proto::LedgerAnswerMessage;
  Message message;
  if (std::holds_alternative<RunRequest>(answer)) {
    message.set_kind(Message::RUN);
  } else if (const auto* attach = std::get_if<AttachToRequest>(&answer)) {
    message.set_kind(Message::ATTACH);
    message.set_instance(attach->instance.value());
    message.set_incarnation(attach->incarnation.value());
    message.set_request(attach->request.value());
  } else if (const auto* replay = std::get_if<ReplayAnswer>(&answer)) {
    message.set_kind(Message::REPLAY);
    message.set_status(static_cast<std::uint32_t>(replay->answer.status));
    message.set_content_type(replay->answer.content_type);
    message.set_answer(replay->answer.body);
    message.set_answer_kept(replay->answer.kept);
  } else if (std::holds_alternative<OutcomeUnknown>(answer)) {
    message.set_kind(Message::UNKNOWN);
  } else if (const auto* refused = std::get_if<ClaimRefused>(&answer)) {
    message.set_kind(Message::REFUSED);
    message.set_refusal(static_cast<std::uint32_t>(refused->reason));
  }
  return message.SerializeAsString();
}

std::optional<LedgerAnswer> DecodeLedgerAnswer(std::string_view bytes) {
  using Message = proto::LedgerAnswerMessage;
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  switch (message.kind()) {
    case Message::NONE:
      return LedgerAnswer();
    case Message::RUN:
      return RunRequest();
    case Message::ATTACH:
      return AttachToRequest{InstanceId(message.instance()),
                             Incarnation(message.incarnation()),
                             RequestId(message.request())};
    case Message::REPLAY:
      return ReplayAnswer{{static_cast<int>(message.status()),
                           message.content_type(), message.answer(),
                           message.answer_kept()}};
    case Message::UNKNOWN:
      return OutcomeUnknown();
    case Message::REFUSED:
      if (message.refusal() < 1 || message.refusal() > 3) return std::nullopt;
      return ClaimRefused{static_cast<LedgerRefusal>(message.refusal())};
    default:
      return std::nullopt;
  }
}

}  // namespace cassiausher
