#include "servers/relay/relay_messages.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace cassiausher {
namespace {

constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
constexpr std::size_t kDigitsPerByte = 2;

constexpr std::array<std::pair<RelayOutcome, std::string_view>, 3> kOutcomes = {
    {{RelayOutcome::kServed, "served"},
     {RelayOutcome::kRefused, "refused"},
     {RelayOutcome::kUnable, "unable"}}};

// Versions are any text, so they are written in hexadecimal.
std::string ToHex(std::string_view text) {
  std::string hex;
  for (const char c : text) {
    hex += fmt::format("{:02x}", static_cast<unsigned char>(c));
  }
  return hex;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value, base);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return value;
}

std::optional<std::string> FromHex(std::string_view hex) {
  if (hex.size() % kDigitsPerByte != 0) return std::nullopt;
  std::string text;
  for (std::size_t at = 0; at < hex.size(); at += kDigitsPerByte) {
    const auto byte = ParseNumber<unsigned char>(hex.substr(at, kDigitsPerByte),
                                                 kHexadecimal);
    if (!byte.has_value()) return std::nullopt;
    text += static_cast<char>(*byte);
  }
  return text;
}

// Takes the next NAME=VALUE off a list that is separated by semicolons. Returns
// the value; null if the name is another one.
std::optional<std::string_view> TakeField(std::string_view name,
                                          std::string_view* list) {
  const std::string_view field = list->substr(0, list->find(';'));
  const std::size_t equals = field.find('=');
  if (equals == std::string_view::npos || field.substr(0, equals) != name) {
    return std::nullopt;
  }
  list->remove_prefix(std::min(list->size(), field.size() + 1));
  return field.substr(equals + 1);
}

// An absent field leaves the version null. Returns false if it is malformed.
bool TakeVersion(std::string_view name, std::string_view* list,
                 std::optional<SoftwareVersion>* version) {
  const auto field = TakeField(name, list);
  if (!field.has_value()) return true;
  const auto text = FromHex(*field);
  if (!text.has_value()) return false;
  *version = SoftwareVersion(*text);
  return true;
}

std::string VersionField(std::string_view name,
                         const std::optional<SoftwareVersion>& version) {
  if (!version.has_value()) return {};
  return fmt::format(";{}={}", name, ToHex(version->value()));
}

}  // namespace

std::string ToHeader(const RelayRequest& request) {
  return fmt::format("token={:x};configuration={};attempts={}{}",
                     request.token.value(), request.configuration.value(),
                     request.attempts,
                     VersionField("begun-by", request.begun_by));
}

std::string ToHeader(const RelayAnswer& answer) {
  std::string_view outcome;
  for (const auto& [value, name] : kOutcomes) {
    if (value == answer.outcome) outcome = name;
  }
  return fmt::format("outcome={};configuration={}{}", outcome,
                     answer.configuration.value(),
                     VersionField("version", answer.version));
}

std::optional<RelayRequest> ReadRelayRequest(std::string_view header) {
  const auto token_text = TakeField("token", &header);
  const auto configuration_text = TakeField("configuration", &header);
  const auto attempts_text = TakeField("attempts", &header);
  if (!token_text || !configuration_text || !attempts_text) return std::nullopt;
  const auto token = ParseNumber<std::uint64_t>(*token_text, kHexadecimal);
  const auto configuration =
      ParseNumber<std::uint64_t>(*configuration_text, kDecimal);
  const auto attempts = ParseNumber<int>(*attempts_text, kDecimal);
  if (!token || !configuration || !attempts || *attempts < 1) {
    return std::nullopt;
  }
  RelayRequest request{.token = RelayToken(*token),
                       .configuration = Revision(*configuration),
                       .attempts = *attempts};
  if (!TakeVersion("begun-by", &header, &request.begun_by)) return std::nullopt;
  return request;
}

std::optional<RelayAnswer> ReadRelayAnswer(std::string_view header) {
  const auto outcome_text = TakeField("outcome", &header);
  const auto configuration_text = TakeField("configuration", &header);
  if (!outcome_text || !configuration_text) return std::nullopt;
  const auto configuration =
      ParseNumber<std::uint64_t>(*configuration_text, kDecimal);
  if (!configuration.has_value()) return std::nullopt;
  RelayAnswer answer{.configuration = Revision(*configuration)};
  if (!TakeVersion("version", &header, &answer.version)) return std::nullopt;
  for (const auto& [value, name] : kOutcomes) {
    if (name != *outcome_text) continue;
    answer.outcome = value;
    return answer;
  }
  return std::nullopt;
}

}  // namespace cassiausher
