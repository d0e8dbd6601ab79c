// Collects the bodies of an HTTP server's requests and refuses the requests
// that exceed a limit before they are read in full.
#ifndef DRIVERS_REQUEST_READER_H_
#define DRIVERS_REQUEST_READER_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/client_connection.h"
#include "drivers/gobject_ptr.h"
#include "drivers/memory_budget.h"
#include "drivers/read_guard.h"
#include "drivers/received_body.h"

namespace cassiausher {

/// The limits are those of HttpServerOptions.
struct RequestReaderOptions {
  Duration read_timeout{};
  std::int64_t max_body_bytes = 0;
  std::int64_t max_reading_bytes = 0;
  std::int64_t max_header_bytes = 0;
  /// Connections are encrypted. A refusal that is sent past libsoup would not
  /// be, so a request that isn't read to its end gets none.
  bool tls = false;
  /// Counts requests that aren't read to their end; null for nowhere.
  Metrics* metrics = nullptr;
  /// Charged with requests until they are destroyed; null for no limit.
  std::shared_ptr<MemoryBudget> memory;
  Duration head_timeout{};
  std::int64_t min_body_bytes_per_second = 0;
  Duration body_grace{};
};

/// Belongs to the task that runs `context`.
class RequestReader {
 public:
  /// Returns the response body for a request refused before it was read.
  using LimitHandler =
      std::function<std::string(int status, std::string_view message)>;
  /// Ends the connection of a message; must call Remove().
  using EndFunction = std::function<void(SoupServerMessage*)>;

  RequestReader(GMainContext* context, const RequestReaderOptions& options,
                LimitHandler limit_handler, EndFunction end);
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// A request has begun, and its head isn't complete.
  void AddHead(ClientConnection* connection) { guard_.AddHead(connection); }
  /// The request that is being read isn't sound.
  void OnBodyRefused(const ClientConnection& connection);
  void OnClosed(ClientConnection* connection) { guard_.OnClosed(connection); }
  /// The library waits for this request. The reader must outlive the signals of
  /// the message.
  void Add(SoupServerMessage* message);
  /// The request is answered, or its connection has ended.
  void Remove(SoupServerMessage* message);
  /// Requests of which a part was read and that aren't refused.
  int Begun() const { return guard_.Begun(); }

  /// Charges what a request that was read in full takes while it runs. If it
  /// doesn't fit, the request is answered, and false is returned.
  bool StartRunning(SoupServerMessage* message);

 private:
  /// The body of a message, with its holder in the budget.
  ReceivedBody& ChargedBody(SoupServerMessage* message);
  bool ChargeHead(SoupServerMessage* message, std::int64_t bytes);
  /// Refuses a request for what was found before the library read it.
  void RefuseUnsound(SoupServerMessage* message, const ReadRefusal& refusal);
  void CountRefusal(SoupServerMessage* message, const ReadRefusal& refusal);
  /// Makes room for `size` more bytes of the body, if the budget allows.
  bool Reserve(SoupServerMessage* message, std::int64_t size, Time now);
  /// Ends the reading of a request in favour of another one.
  void Evict(SoupServerMessage* message);
  /// Sends a refusal past libsoup and closes the connection, so that libsoup
  /// releases the message at once.
  void RefuseNow(SoupServerMessage* message, int status, std::string_view text);
  void SendRefusal(SoupServerMessage* message, int status,
                   std::string_view text);
  void LogLimit(SoupServerMessage* message, int status, std::string_view text);
  static void OnGotHeaders(SoupServerMessage* message, gpointer self);
  static void OnGotChunk(SoupServerMessage* message, GBytes* chunk,
                         gpointer self);
  static void OnGotBody(SoupServerMessage* message, gpointer self);
  /// Sends the refusal past libsoup, which reads a request to its end first,
  /// and ends the connection.
  void EndReading(SoupServerMessage* message, const ReadRefusal& refusal);
  /// Lets the task do other work before it reads on: libsoup reads a connection
  /// as long as bytes arrive.
  void YieldReading(SoupServerMessage* message);
  void LimitReading();
  void RefuseEarly(SoupServerMessage* message, int status,
                   std::string_view text);

  GMainContext* context_;
  RequestReaderOptions options_;
  LimitHandler limit_handler_;
  EndFunction end_;
  ReadGuard guard_;
  /// Continue the reading of requests. Some have done so.
  std::vector<GSourcePtr> breaks_;
  /// Expires with the reader, which the budget outlives.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cassiausher

#endif  // DRIVERS_REQUEST_READER_H_
