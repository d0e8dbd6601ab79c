#include "main/node/node_messages.h"

#include <algorithm>

namespace cassiausher {
namespace {

// Older confirmations are of no use, and a larger number could overflow a time.
constexpr std::uint64_t kMaxAgeMs = 3600 * 1000;

}  // namespace

proto::VersionedDocument ToProto(const VersionedDocument& document) {
  proto::VersionedDocument message;
  message.set_version(document.version.value());
  message.set_document(document.document);
  return message;
}

VersionedDocument FromProto(const proto::VersionedDocument& message) {
  return {Revision(message.version()), message.document()};
}

void WriteNotice(const NewestVersion& newest, Revision held, Time now,
                 proto::ConfigurationNotice* notice) {
  notice->set_newest_version(newest.version().value());
  notice->set_held_version(held.value());
  if (!newest.confirmed_at().has_value()) return;
  const Duration age = std::max(Duration(0), now - *newest.confirmed_at());
  // Rounded up: a confirmation must not look newer than it is.
  const auto age_ms = static_cast<std::uint64_t>(age / Milliseconds(1)) + 1;
  notice->set_confirmed_ms_ago(age_ms);
}

std::optional<Time> ConfirmedAt(const proto::ConfigurationNotice& notice,
                                Time now) {
  if (!notice.has_confirmed_ms_ago()) return std::nullopt;
  const std::uint64_t age_ms = std::min(notice.confirmed_ms_ago(), kMaxAgeMs);
  return now - Milliseconds(static_cast<std::int64_t>(age_ms));
}

}  // namespace cassiausher
