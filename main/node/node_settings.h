// Settings of an entry or control instance, in JSON.
#ifndef MAIN_NODE_NODE_SETTINGS_H_
#define MAIN_NODE_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/time.h"
#include "servers/accounts/client_account.h"

namespace cassiausher {

/// A parsed "IP:PORT".
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
};

struct NodeSettings {
  /// Name for logs; messages identify an instance by its IP address.
  std::string instance;
  std::string ip;
  DataCentreId data_centre;
  /// Listeners; absent where the role has none.
  std::optional<SocketAddress> callers;
  std::optional<SocketAddress> readiness;
  std::optional<SocketAddress> control;
  /// For requests of other entry instances; only instances may reach it.
  /// Without it the instance serves none of these.
  std::optional<SocketAddress> relay;
  /// Port of the messages between instances, the same on each.
  std::uint16_t peer_port = 0;
  /// Control instances known when the settings were written.
  std::vector<SocketAddress> seeds;
  /// This is the first start of the whole deployment.
  bool first_start = false;
  /// Empty if the instance has no disk.
  std::string data_folder;
  /// Time from SIGTERM until the process is killed.
  Duration shutdown_grace = Seconds(8);
  /// Retry budget: extra calls to endpoints that all instances together may
  /// make within ten seconds, as a share of the requests and a fixed number.
  double retry_ratio = 0.2;
  double retry_allowance = 50;
  QuotaTolerance quota_tolerance;
  /// Control instances whose loss at the same time, disks included, the
  /// deployment must bear. Without it the group of voters takes all the
  /// instances that it can use.
  std::optional<int> tolerated_losses;
  /// Memory of the machine for this process, from which the limits of what
  /// clients may make it hold follow. Each role has its own default.
  std::optional<std::int64_t> memory_mb;
};

/// Parses settings; every error is added to `findings` with its place.
NodeSettings ReadNodeSettings(const std::string& text, const std::string& file,
                              Findings* findings);

/// The part of the grace period of a shutdown in which the process still
/// serves. It takes `margin` to end, or half of a grace period that is shorter.
Duration ServingPart(Duration grace, Duration margin);

/// Reads a whole file. Returns false, with a finding, if it can't be read.
bool ReadFile(const std::string& file, std::string* text, Findings* findings);

}  // namespace cassiausher

#endif  // MAIN_NODE_NODE_SETTINGS_H_
