#include "main/node/node_settings.h"

#include <gio/gio.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

#include "core/json_reader.h"

namespace cassiausher {
namespace {

// A process without clients takes up to 30 MB, and a single request of the
// largest legal size 13 MB.
constexpr std::int64_t kLeastMemoryMb = 64;
constexpr std::int64_t kMostMemoryMb = 1 << 20;
// Every change waits for a majority of 2n + 1 disks.
constexpr std::int64_t kLeastToleratedLosses = 1;
constexpr std::int64_t kMostToleratedLosses = 3;

bool ParseAddress(const std::string& text, SocketAddress* address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(begin, end, address->port);
  address->ip = text.substr(0, colon);
  return read.ec == std::errc() && read.ptr == end && address->port != 0 &&
         g_hostname_is_ip_address(address->ip.c_str()) != FALSE;
}

void ReadAddress(JsonReader& reader, const char* key,
                 std::optional<SocketAddress>* address) {
  std::string text;
  reader.Read(key, &text);
  if (text.empty()) return;
  SocketAddress parsed;
  if (ParseAddress(text, &parsed)) {
    *address = parsed;
  } else {
    reader.Report(key, "must be IP:PORT");
  }
}

void ReadSeeds(JsonReader& reader, std::vector<SocketAddress>* seeds) {
  reader.ReadStrings("seeds", [&](const std::string& text) {
    SocketAddress parsed;
    if (ParseAddress(text, &parsed)) {
      seeds->push_back(parsed);
    } else {
      reader.Report("seeds", "each must be IP:PORT");
    }
  });
}

// The platform has no value for some of its names in some deployments.
void RemoveEmpty(nlohmann::json* object) {
  if (!object->is_object()) return;
  for (auto item = object->begin(); item != object->end();) {
    RemoveEmpty(&*item);
    item = item->is_null() ? object->erase(item) : std::next(item);
  }
}

}  // namespace

Duration ServingPart(Duration grace, Duration margin) {
  return std::max(grace - margin, grace / 2);
}

bool ReadFile(const std::string& file, std::string* text, Findings* findings) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    findings->Add(file, "can't be read");
    return false;
  }
  text->assign(std::istreambuf_iterator<char>(stream), {});
  return true;
}

NodeSettings ReadNodeSettings(const std::string& text, const std::string& file,
                              Findings* findings) {
  NodeSettings settings;
  nlohmann::json document = ParseJson(text, file, findings);
  RemoveEmpty(&document);
  if (!document.is_object()) {
    if (findings->empty()) findings->Add(file, "must be an object");
    return settings;
  }
  JsonReader reader(document, file, "", findings);
  for (const char* key :
       {"instance", "address", "data_centre", "listen", "peer_port", "seeds"}) {
    reader.Require(key);
  }
  reader.Read("instance", &settings.instance);
  reader.Read("address", &settings.ip);
  if (g_hostname_is_ip_address(settings.ip.c_str()) == FALSE) {
    reader.Report("address", "must be an IP address");
  }
  std::string data_centre;
  reader.Read("data_centre", &data_centre);
  settings.data_centre = DataCentreId(data_centre);
  reader.ReadObject("listen", [&](JsonReader& listen) {
    ReadAddress(listen, "callers", &settings.callers);
    ReadAddress(listen, "readiness", &settings.readiness);
    ReadAddress(listen, "control", &settings.control);
    ReadAddress(listen, "relay", &settings.relay);
  });
  std::int64_t port = 0;
  reader.Read("peer_port", &port, 1, 65535);
  settings.peer_port = static_cast<std::uint16_t>(port);
  ReadSeeds(reader, &settings.seeds);
  reader.Read("first_start", &settings.first_start);
  reader.Read("data_folder", &settings.data_folder);
  double grace_s = ToSeconds(settings.shutdown_grace);
  reader.Read("shutdown_grace_s", &grace_s, 0, 3600);
  settings.shutdown_grace = FromSeconds(grace_s);
  if (reader.Has("tolerated_losses")) {
    std::int64_t losses = 0;
    reader.Read("tolerated_losses", &losses, kLeastToleratedLosses,
                kMostToleratedLosses);
    settings.tolerated_losses = static_cast<int>(losses);
  }
  reader.ReadObject("retry_budget", [&](JsonReader& budget) {
    budget.Read("ratio", &settings.retry_ratio, 0, 10);
    budget.Read("allowance", &settings.retry_allowance, 0, 1e6);
  });
  reader.ReadObject("quotas", [&](JsonReader& quotas) {
    double window_s = 0;
    quotas.Read("window_s", &window_s, 0, 3600);
    settings.quota_tolerance.window = FromSeconds(window_s);
    quotas.Read("overage", &settings.quota_tolerance.overage, 0, 10);
    quotas.Read("slack", &settings.quota_tolerance.slack, 0, 1e12);
  });
  reader.ReadObject("limits", [&](JsonReader& limits) {
    if (!limits.Has("memory_mb")) return;
    std::int64_t memory_mb = 0;
    limits.Read("memory_mb", &memory_mb, kLeastMemoryMb, kMostMemoryMb);
    settings.memory_mb = memory_mb;
  });
  reader.Finish();
  return settings;
}

}  // namespace cassiausher
