// TCP relay that can silence its open connections: they stay open but forward
// nothing more, while new connections work.
#ifndef TOOLS_LOAD_SILENT_RELAY_SILENT_RELAY_H_
#define TOOLS_LOAD_SILENT_RELAY_SILENT_RELAY_H_

#include <gio/gio.h>

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace cassiausher {

/// Not thread-safe: create and use it on one thread. It runs on the thread's
/// default GLib main context.
class SilentRelay {
 public:
  /// `target` is ADDRESS:PORT.
  explicit SilentRelay(std::string target);
  ~SilentRelay();
  SilentRelay(const SilentRelay&) = delete;
  SilentRelay& operator=(const SilentRelay&) = delete;

  /// `listen` is ADDRESS:PORT; port 0 picks a free one. Returns an error
  /// message, or an empty string on success.
  std::string Start(const std::string& listen);
  std::uint16_t port() const { return port_; }

  /// Stops forwarding on all open connections without closing them. Returns
  /// their number.
  int SilenceOpenConnections();

 private:
  struct Link;
  void Accept(GSocketConnection* caller);
  void Close(const std::shared_ptr<Link>& link);

  std::string target_;
  GSocketService* service_ = nullptr;
  std::uint16_t port_ = 0;
  std::list<std::shared_ptr<Link>> open_;
  /// Kept until the relay is destroyed, so that the connections stay open.
  std::list<std::shared_ptr<Link>> silenced_;
};

}  // namespace cassiausher

#endif  // TOOLS_LOAD_SILENT_RELAY_SILENT_RELAY_H_
