// One connection of a client: what has arrived on it, what the HTTP library is
// given of it, and whether another request may be read from it.
#ifndef DRIVERS_CLIENT_CONNECTION_H_
#define DRIVERS_CLIENT_CONNECTION_H_

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "drivers/gobject_ptr.h"
#include "drivers/memory_budget.h"
#include "drivers/request_framing.h"

namespace cassiausher {

struct ClientConnectionOptions {
  RequestFramingOptions framing;
  /// Charged with the connection and with what waits on it to be read; null for
  /// no limit.
  std::shared_ptr<MemoryBudget> memory;
};

/// Belongs to the task of its server, like all messages of the connection.
class ClientConnection {
 public:
  struct Callbacks {
    /// A request has begun.
    std::function<void(ClientConnection*)> on_begun;
    /// A request is refused whose head the library has; body_refusal() tells
    /// why.
    std::function<void(ClientConnection*)> on_body_refused;
    /// The library has closed the connection.
    std::function<void(ClientConnection*)> on_closed;
  };

  /// `transport` carries the bytes of `socket`, encrypted or not.
  ClientConnection(GObjectPtr<GSocket> socket, GObjectPtr<GIOStream> transport,
                   const ClientConnectionOptions& options, Callbacks callbacks);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  GSocket* socket() const { return socket_.get(); }
  GIOStream* transport() const { return transport_.get(); }

  /// Takes a connection's own memory from the budget. Returns whether it fits;
  /// it is charged in any case.
  bool ChargeOpen(Time now);

  /// Reads sound requests as the library is to see them, without blocking.
  /// Returns 0 at the end, or -1 with an error.
  gssize Read(char* buffer, gsize size, GError** error);
  /// Whether Read() has something to return without reading from the socket.
  bool HasOutput() const;
  /// Will be made ready when something but the socket makes Read() return.
  void WatchOutput(GSource* source);

  /// The library tells of the head of a request.
  RequestHead TakeHead(SoupServerMessage* message);
  /// The request whose head was taken last; null once it is answered.
  SoupServerMessage* message() const { return message_; }
  /// The library is done with a request. If it hasn't read all of it, nothing
  /// more is read.
  void OnMessageEnded();

  /// Refuses a request whose head isn't complete.
  void RefuseHead(ReadRefusal refusal);
  /// Nothing more is read. If the library waits for a request, it closes the
  /// connection.
  void EndInput();
  void OnClosed();

  /// Neither has a request begun nor is one being answered, and no byte of one
  /// has arrived.
  bool IsIdle() const;
  bool in_head() const { return framing_.in_head(); }
  /// When the first byte of the request that is being read was seen.
  Time begun_at() const { return begun_at_; }
  /// Bytes that have arrived of the request that is being read.
  std::int64_t request_bytes() const { return request_bytes_; }
  const std::optional<ReadRefusal>& body_refusal() const {
    return framing_.body_refusal();
  }

 private:
  /// Reads what has arrived from the transport. Returns 0 at its end, which an
  /// error outside a body counts as.
  gssize Receive(GError** error);
  void OnInputEnd();
  void Parse(Time now);
  gssize TakeOutput(char* buffer, gsize size);
  /// Charges what the connection holds now. Returns whether it fits.
  bool ChargeHeld(Time now);
  void RefuseForMemory();
  /// Releases what waits to be read, and makes the library read.
  void DropInput();

  GObjectPtr<GSocket> socket_;
  GObjectPtr<GIOStream> transport_;
  std::shared_ptr<MemoryBudget> memory_;
  MemoryBudget::HolderId open_holder_ = 0;
  /// Holds `charged_` bytes for `input_` and `output_`.
  MemoryBudget::HolderId held_holder_ = 0;
  std::int64_t charged_ = 0;
  Callbacks callbacks_;
  RequestFraming framing_;
  /// Has arrived, and wasn't used yet.
  std::string input_;
  /// `input_` holds nothing that can be used without further bytes.
  bool needs_more_ = true;
  /// For the library, from `output_begin_` on.
  std::string output_;
  std::size_t output_begin_ = 0;
  /// The transport has ended inside a body.
  bool is_truncated_ = false;
  bool is_closed_ = false;
  Time begun_at_{};
  std::int64_t request_bytes_ = 0;
  /// Not owned: it holds the connection.
  SoupServerMessage* message_ = nullptr;
  GSource* output_source_ = nullptr;
};

/// A stream by which the HTTP library reads from and writes to the connection.
GObjectPtr<GIOStream> NewLibraryStream(
    std::shared_ptr<ClientConnection> connection);

/// The address of the client, which the library passes on with each message,
/// with a reference to the connection. Null if the client is gone.
GObjectPtr<GSocketAddress> NewLibraryAddress(
    std::shared_ptr<ClientConnection> connection);

/// The connection on which the library has read the message.
ClientConnection* ConnectionOf(SoupServerMessage* message);
GSocket* SocketOf(SoupServerMessage* message);

}  // namespace cassiausher

#endif  // DRIVERS_CLIENT_CONNECTION_H_
