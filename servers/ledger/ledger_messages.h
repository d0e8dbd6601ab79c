// Conversions of ledger entries, answers and snapshots to and from protobuf.
#ifndef SERVERS_LEDGER_LEDGER_MESSAGES_H_
#define SERVERS_LEDGER_LEDGER_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "servers/ledger/ledger.h"

namespace cassiausher {

namespace proto {
class LedgerEntry;
class LedgerSnapshot;
}  // namespace proto

void ToProto(const LedgerEntry& entry, proto::LedgerEntry* message);
/// Returns nullopt if the message contains no valid entry.
std::optional<LedgerEntry> FromProto(const proto::LedgerEntry& message);

void ToProto(const Ledger& ledger, proto::LedgerSnapshot* message);
/// Returns false and leaves the ledger unchanged if the message is invalid.
bool FromProto(const proto::LedgerSnapshot& message, Ledger* ledger);

/// Encoding of LedgerRequest.command: the entry that an instance asks the
/// leader to commit.
std::string EncodeLedgerEntry(const LedgerEntry& entry);
std::optional<LedgerEntry> DecodeLedgerEntry(std::string_view bytes);

/// Encoding of LedgerReply.result.
std::string EncodeLedgerAnswer(const LedgerAnswer& answer);
std::optional<LedgerAnswer> DecodeLedgerAnswer(std::string_view bytes);

}  // namespace cassiausher

#endif  // SERVERS_LEDGER_LEDGER_MESSAGES_H_
