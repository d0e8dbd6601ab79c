// Settings of one daemon, read from its JSON file. Settings shared by all
// instances are in the replicated configuration instead.
#ifndef CORE_SETTINGS_H_
#define CORE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/log.h"

namespace cassiausher {

/// IP address and port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const;
};

/// Parses "IP:PORT" or "[IPv6]:PORT". Returns false if `text` is neither.
bool ParseSocketAddress(const std::string& text, SocketAddress* address);

struct PeerSettings {
  InstanceId instance;
  DataCentreId data_centre;
  SocketAddress address;
  /// Z85-encoded CURVE key; empty if the deployment runs without encryption.
  std::string public_key;
  /// The instance has a disk and votes on the replicated log.
  bool voter = false;
};

/// A bearer token, stored as its SHA-256 in hexadecimal.
struct TokenSettings {
  std::string name;  ///< Client account, operator or endpoint group.
  std::string sha256;
  std::string role;  ///< Operators only: viewer, operator or administrator.
};

struct Settings {
  InstanceId instance;
  DataCentreId data_centre;

  struct Listen {
    SocketAddress caller;
    SocketAddress admin;
    SocketAddress peer;
    std::string tls_certificate_file;
    std::string tls_key_file;
  } listen;

  /// All instances known at startup, including this one.
  std::vector<PeerSettings> peers;
  /// Empty if the instance has no disk.
  std::string data_folder;

  struct Keys {
    std::string curve_public_key;
    std::string curve_secret_key_file;
    /// Content of `curve_secret_key_file`.
    std::string curve_secret_key;
    std::vector<TokenSettings> operators;
    std::vector<TokenSettings> callers;
    std::vector<TokenSettings> endpoints;
  } keys;

  struct Limits {
    std::int64_t body_bytes = 4 << 20;
    std::int64_t header_bytes = 32 << 10;
    /// Maximum requests in progress at this instance; further ones are refused.
    std::int64_t open_requests = 20000;
    std::int64_t serving_tasks = 4;
    /// A stream to a slow caller is ended when more bytes than this are unsent.
    std::int64_t unsent_bytes = 1 << 20;
    /// Maximum time that a graceful shutdown waits for requests in progress.
    std::int64_t shutdown_ms = 600000;
  } limits;

  struct LogSettings {
    LogLevel level = LogLevel::kInfo;
  } log;
};

/// Reads and validates a settings file. Every error is a finding with the file
/// and the JSON pointer of its location.
Settings LoadSettings(const std::string& file, Findings* findings);

/// Like LoadSettings() for a text; `place` replaces the file name in findings.
Settings ParseSettings(const std::string& text, const std::string& place,
                       Findings* findings);

}  // namespace cassiausher

#endif  // CORE_SETTINGS_H_
