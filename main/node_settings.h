// Settings of an entry or control instance, in JSON.
#ifndef MAIN_NODE_SETTINGS_H_
#define MAIN_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/time.h"

namespace cassiausher {

/// "IP:PORT", taken apart.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
};

struct NodeSettings {
  /// Name for logs; messages name an instance by its IP number.
  std::string instance;
  std::string ip;
  DataCentreId data_centre;
  /// Listeners; absent where the role has none.
  std::optional<SocketAddress> callers;
  std::optional<SocketAddress> readiness;
  std::optional<SocketAddress> control;
  /// Port of the messages between instances, the same on each.
  std::uint16_t peer_port = 0;
  /// Control instances that were there when the settings were written.
  std::vector<SocketAddress> seeds;
  /// The whole deployment starts for the first time.
  bool first_start = false;
  /// Empty without a disk.
  std::string data_folder;
  /// Time from SIGTERM until the process is killed.
  Duration shutdown_grace = Seconds(8);
  /// Extra calls to endpoints that all instances may make together within ten
  /// seconds: a share of the requests and a number.
  double retry_ratio = 0.2;
  double retry_allowance = 50;
};

/// Reads settings; every fault is added to `findings` with its place.
NodeSettings ReadNodeSettings(const std::string& text, const std::string& file,
                              Findings* findings);

/// Reads a file whole. False, with a finding, if it can't be read.
bool ReadFile(const std::string& file, std::string* text, Findings* findings);

}  // namespace cassiausher

#endif  // MAIN_NODE_SETTINGS_H_
