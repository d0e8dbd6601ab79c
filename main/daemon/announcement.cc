#include "main/daemon/announcement.h"

#include <cstdint>
#include <string>

#include "core/json_reader.h"
#include "servers/routing/router_types.h"

namespace cassiausher {
namespace {

// Upper limits of the announced values. Larger values are rejected, so that a
// faulty endpoint can't attract all work.
constexpr std::int64_t kMaxSlots = 100000;
constexpr std::int64_t kMaxBytes = std::int64_t{1} << 50;
constexpr std::int64_t kMaxBytesPerToken = std::int64_t{1} << 30;
constexpr double kMaxTokensPerSecond = 1e9;
constexpr std::int64_t kMaxCount = 1000000;
constexpr std::int64_t kMaxTokens = std::int64_t{1} << 40;
constexpr std::int64_t kMaxAgeMs = 3600000;
constexpr std::int64_t kMaxInteger = INT64_MAX;

std::int64_t ReadInteger(JsonReader& reader, const char* key,
                         std::int64_t max) {
  std::int64_t value = 0;
  reader.Read(key, &value, 0, max);
  return value;
}

std::string ReadText(JsonReader& reader, const char* key) {
  std::string value;
  reader.Require(key);
  reader.Read(key, &value);
  return value;
}

void ReadRole(JsonReader& reader, proto::Announcement* message) {
  const std::string role = ReadText(reader, "role");
  if (role == "prefill") {
    message->set_role(static_cast<int>(EndpointRole::kPrefill));
  } else if (role == "decode") {
    message->set_role(static_cast<int>(EndpointRole::kDecode));
  } else if (role == "plain") {
    message->set_role(static_cast<int>(EndpointRole::kPlain));
  } else if (reader.Has("role")) {
    reader.Report("role", "must be prefill, decode or plain");
  }
}

void ReadLoad(JsonReader& load, proto::LoadReport* report) {
  report->set_sequence(
      static_cast<std::uint64_t>(ReadInteger(load, "sequence", kMaxInteger)));
  report->set_age_us(ReadInteger(load, "age_ms", kMaxAgeMs) * 1000);
  report->set_running(
      static_cast<std::int32_t>(ReadInteger(load, "running", kMaxCount)));
  report->set_waiting(
      static_cast<std::int32_t>(ReadInteger(load, "waiting", kMaxCount)));
  report->set_queued_prompt_tokens(
      ReadInteger(load, "queued_prompt_tokens", kMaxTokens));
  report->set_kv_bytes(ReadInteger(load, "kv_bytes", kMaxBytes));
}

void ReadCacheEvent(JsonReader& reader, proto::Announcement* message) {
  proto::CacheEvent* event = message->add_cache_events();
  event->set_sequence(
      static_cast<std::uint64_t>(ReadInteger(reader, "sequence", kMaxInteger)));
  const std::string kind = ReadText(reader, "kind");
  if (kind != "stored" && kind != "removed") {
    reader.Report("kind", "must be stored or removed");
  }
  event->set_removed(kind == "removed");
  std::uint64_t prefix_hash = 0;
  reader.Read("prefix_hash", &prefix_hash);
  event->set_prefix_hash(prefix_hash);
}

}  // namespace

proto::Announcement ParseAnnouncement(std::string_view body,
                                      Findings* findings) {
  proto::Announcement message;
  const nlohmann::json document = ParseJson(body, "body", findings);
  if (document.is_discarded()) return message;
  JsonReader reader(document, "body", "", findings);
  if (!document.is_object()) return message;
  message.set_name(ReadText(reader, "name"));
  message.set_data_centre(ReadText(reader, "data_centre"));
  message.set_service(ReadText(reader, "service"));
  ReadRole(reader, &message);
  message.set_url(ReadText(reader, "url"));
  reader.ReadStrings("models", [](const std::string&) {});
  message.set_slots(
      static_cast<std::int32_t>(ReadInteger(reader, "slots", kMaxSlots)));
  message.set_kv_capacity_bytes(
      ReadInteger(reader, "kv_capacity_bytes", kMaxBytes));
  double rate = 0;
  reader.Read("prefill_tokens_per_second", &rate, 0, kMaxTokensPerSecond);
  message.set_prefill_tokens_per_second(rate);
  message.set_kv_bytes_per_token(
      ReadInteger(reader, "kv_bytes_per_token", kMaxBytesPerToken));
  bool fencing = true;
  reader.Read("fencing", &fencing);
  message.set_honours_fencing(fencing);
  message.set_incarnation(static_cast<std::uint64_t>(
      ReadInteger(reader, "incarnation", kMaxInteger)));
  bool departing = false;
  reader.Read("departing", &departing);
  message.set_departing(departing);
  reader.ReadObject("load", [&](JsonReader& load) {
    ReadLoad(load, message.mutable_load());
  });
  reader.ReadArray("cache_events",
                   [&](JsonReader& event) { ReadCacheEvent(event, &message); });
  // Fields of a newer protocol version are ignored: endpoints are upgraded on
  // their own schedule.
  return message;
}

}  // namespace cassiausher
