#include "core/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "core/json_reader.h"

namespace cassiausher {
namespace {

constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kZ85KeyLength = 40;
constexpr std::size_t kMaxNameLength = 64;

bool IsHex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

bool IsValidName(const std::string& text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

void ReadName(JsonReader& reader, const char* key, std::string* name) {
  reader.Require(key);
  if (!reader.Has(key)) return;
  reader.Read(key, name);
  if (!IsValidName(*name)) {
    reader.Report(key,
                  "must be 1 to 64 letters, digits, dots, dashes or "
                  "underscores");
  }
}

void ReadAddress(JsonReader& reader, const char* key, SocketAddress* address) {
  reader.Require(key);
  if (!reader.Has(key)) return;
  std::string text;
  reader.Read(key, &text);
  if (!ParseSocketAddress(text, address)) {
    reader.Report(key,
                  "must be an IP address and a port, such as 127.0.0.1:8080");
  }
}

void ReadToken(JsonReader& reader, bool with_role,
               std::vector<TokenSettings>* tokens) {
  TokenSettings token;
  ReadName(reader, "name", &token.name);
  reader.Require("token_sha256");
  reader.Read("token_sha256", &token.sha256);
  const bool well_formed =
      token.sha256.size() == kSha256HexLength &&
      std::all_of(token.sha256.begin(), token.sha256.end(), IsHex);
  if (reader.Has("token_sha256") && !well_formed) {
    reader.Report("token_sha256", "must be 64 lower-case hexadecimal digits");
  }
  if (with_role) {
    reader.Require("role");
    reader.Read("role", &token.role);
    static const std::set<std::string> roles = {"viewer", "operator",
                                                "administrator"};
    if (reader.Has("role") && !roles.contains(token.role)) {
      reader.Report("role", "must be viewer, operator or administrator");
    }
  }
  tokens->push_back(token);
}

void ReadSecretKey(JsonReader& reader, Settings::Keys* keys) {
  if (keys->curve_secret_key_file.empty()) return;
  std::ifstream file(keys->curve_secret_key_file);
  if (!(file >> keys->curve_secret_key) ||
      keys->curve_secret_key.size() != kZ85KeyLength) {
    reader.Report("curve_secret_key_file",
                  "must name a file with 40 characters of Z85");
  }
}

void ReadKeys(JsonReader& reader, Settings::Keys* keys) {
  reader.Read("curve_public_key", &keys->curve_public_key);
  reader.Read("curve_secret_key_file", &keys->curve_secret_key_file);
  if (reader.Has("curve_public_key") &&
      keys->curve_public_key.size() != kZ85KeyLength) {
    reader.Report("curve_public_key", "must be 40 characters of Z85");
  }
  if (keys->curve_public_key.empty() != keys->curve_secret_key_file.empty()) {
    reader.Report("", "curve_public_key and curve_secret_key_file go together");
  }
  ReadSecretKey(reader, keys);
  reader.ReadArray("operators", [&](JsonReader& item) {
    ReadToken(item, true, &keys->operators);
  });
  reader.ReadArray("callers", [&](JsonReader& item) {
    ReadToken(item, false, &keys->callers);
  });
  reader.ReadArray("endpoints", [&](JsonReader& item) {
    ReadToken(item, false, &keys->endpoints);
  });
}

void ReadLimits(JsonReader& reader, Settings::Limits* limits) {
  reader.Read("body_bytes", &limits->body_bytes, 1024, 1 << 30);
  reader.Read("header_bytes", &limits->header_bytes, 1024, 1 << 20);
  reader.Read("open_requests", &limits->open_requests, 1, 1000000);
  reader.Read("serving_tasks", &limits->serving_tasks, 1, 64);
  reader.Read("unsent_bytes", &limits->unsent_bytes, 4096, 1 << 30);
  reader.Read("shutdown_ms", &limits->shutdown_ms, 0, 86400000);
}

void ReadListen(JsonReader& reader, Settings::Listen* listen) {
  ReadAddress(reader, "caller", &listen->caller);
  ReadAddress(reader, "admin", &listen->admin);
  ReadAddress(reader, "peer", &listen->peer);
  reader.Read("tls_certificate_file", &listen->tls_certificate_file);
  reader.Read("tls_key_file", &listen->tls_key_file);
  if (listen->tls_certificate_file.empty() != listen->tls_key_file.empty()) {
    reader.Report("",
                  "tls_certificate_file and tls_key_file must be set together");
  }
}

void ReadPeer(JsonReader& reader, bool encrypted, std::set<std::string>* names,
              std::vector<PeerSettings>* peers) {
  PeerSettings peer;
  std::string instance;
  std::string data_centre;
  ReadName(reader, "instance", &instance);
  ReadName(reader, "data_centre", &data_centre);
  ReadAddress(reader, "address", &peer.address);
  reader.Read("public_key", &peer.public_key);
  reader.Read("voter", &peer.voter);
  if (encrypted && peer.public_key.size() != kZ85KeyLength) {
    reader.Report("public_key", "must be 40 characters of Z85");
  }
  if (!instance.empty() && !names->insert(instance).second) {
    reader.Report("instance",
                  fmt::format("{} is listed more than once", instance));
  }
  peer.instance = InstanceId(instance);
  peer.data_centre = DataCentreId(data_centre);
  peers->push_back(peer);
}

void CheckOwnPeerEntry(const Settings& settings, JsonReader& reader) {
  const auto self = std::find_if(settings.peers.begin(), settings.peers.end(),
                                 [&](const PeerSettings& peer) {
                                   return peer.instance == settings.instance;
                                 });
  if (self == settings.peers.end()) {
    reader.Report("peers", fmt::format("instance {} is not listed",
                                       settings.instance.value()));
    return;
  }
  if (self->data_centre != settings.data_centre) {
    reader.Report("data_centre", fmt::format("differs from {} in peers",
                                             self->data_centre.value()));
  }
  if (self->voter && settings.data_folder.empty()) {
    reader.Report("data_folder", "is missing, but the instance is a voter");
  }
}

}  // namespace

std::string SocketAddress::ToString() const {
  if (ip.find(':') != std::string::npos) {
    return fmt::format("[{}]:{}", ip, port);
  }
  return fmt::format("{}:{}", ip, port);
}

bool ParseSocketAddress(const std::string& text, SocketAddress* address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  std::string ip = text.substr(0, colon);
  if (ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  const bool numeric =
      !ip.empty() &&
      ip.find_first_not_of("0123456789abcdefABCDEF.:") == std::string::npos;
  if (!numeric) return false;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port > 65535) {
    return false;
  }
  *address = {.ip = ip, .port = static_cast<std::uint16_t>(port)};
  return true;
}

Settings ParseSettings(const std::string& text, const std::string& place,
                       Findings* findings) {
  Settings settings;
  const nlohmann::json document = ParseJson(text, place, findings);
  if (document.is_discarded()) return settings;
  JsonReader reader(document, place, "", findings);
  if (!document.is_object()) return settings;

  std::string instance;
  std::string data_centre;
  ReadName(reader, "instance", &instance);
  ReadName(reader, "data_centre", &data_centre);
  settings.instance = InstanceId(instance);
  settings.data_centre = DataCentreId(data_centre);

  reader.Require("listen");
  reader.ReadObject("listen", [&](JsonReader& listen) {
    ReadListen(listen, &settings.listen);
  });
  reader.Read("data_folder", &settings.data_folder);
  reader.Require("keys");
  reader.ReadObject("keys",
                    [&](JsonReader& keys) { ReadKeys(keys, &settings.keys); });
  reader.Require("peers");
  std::set<std::string> names;
  const bool encrypted = !settings.keys.curve_public_key.empty();
  reader.ReadArray("peers", [&](JsonReader& peer) {
    ReadPeer(peer, encrypted, &names, &settings.peers);
  });
  reader.ReadObject("limits", [&](JsonReader& limits) {
    ReadLimits(limits, &settings.limits);
  });
  reader.ReadObject("log", [&](JsonReader& log) {
    std::string level = "info";
    log.Read("level", &level);
    if (!ParseLogLevel(level, &settings.log.level)) {
      log.Report("level", "must be debug, info, warning or error");
    }
  });
  if (!instance.empty()) CheckOwnPeerEntry(settings, reader);
  reader.Finish();
  return settings;
}

Settings LoadSettings(const std::string& file, Findings* findings) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    findings->Add(file, "can't be read");
    return {};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file, findings);
}

}  // namespace cassiausher
