#include "drivers/request_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "core/log.h"
#include "drivers/answer_tracker.h"
#include "drivers/clock.h"
#include "drivers/received_body.h"

namespace cassiausher {
namespace {

struct HeaderSize {
  /// As sent: name, colon, space, value and CRLF.
  std::int64_t bytes = 0;
  std::int64_t fields = 0;
};

HeaderSize SizeOf(SoupMessageHeaders* headers) {
  HeaderSize size;
  soup_message_headers_foreach(
      headers,
      [](const char* name, const char* value, gpointer total) {
        auto* sum = static_cast<HeaderSize*>(total);
        sum->bytes +=
            static_cast<std::int64_t>(std::strlen(name) + std::strlen(value)) +
            4;
        ++sum->fields;
      },
      &size);
  return size;
}

std::string ClientOf(SoupServerMessage* message) {
  return ClientAddress(SocketOf(message));
}

// What libsoup takes for each field beyond its bytes: two blocks of the heap
// and an entry in an array that grows by doubling.
constexpr std::int64_t kFieldBytes = 112;
// A body grows by half of its size, at least by this much.
constexpr std::int64_t kLeastGrowth = 4 << 10;
// Smaller progress doesn't make a body harder to evict.
constexpr std::int64_t kProgressBytes = 16 << 10;
// While a request runs, its body is held by the message, the call to the
// endpoint and the HTTP client.
constexpr std::int64_t kCopiesWhileRunning = 2;
constexpr int kServiceUnavailable = 503;

// Pieces of a body that are read without a break. libsoup reads up to 8 KiB at
// a time, and each chunk of a chunked body by itself.
constexpr int kPiecesBetweenBreaks = 64;

// More pieces take too much time. A sound body has some thousands.
constexpr int kMaxPieces = 64 << 10;

}  // namespace

RequestReader::RequestReader(GMainContext* context,
                             const RequestReaderOptions& options,
                             LimitHandler limit_handler, EndFunction end)
    : context_(context),
      options_(options),
      limit_handler_(std::move(limit_handler)),
      end_(std::move(end)),
      guard_(context,
             {.timeout = options.read_timeout,
              .head_timeout = options.head_timeout,
              .min_body_bytes_per_second = options.min_body_bytes_per_second,
              .body_grace = options.body_grace},
             [this](SoupServerMessage* message, const ReadRefusal& refusal) {
               EndReading(message, refusal);
             }) {}

ReceivedBody& RequestReader::ChargedBody(SoupServerMessage* message) {
  ReceivedBody& body = BodyOf(message);
  if (body.budget || !options_.memory) return body;
  body.budget = options_.memory;
  body.holder = body.budget->Add(
      [this, message, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) Evict(message);
      },
      BootTimeNow());
  return body;
}

bool RequestReader::ChargeHead(SoupServerMessage* message, std::int64_t bytes) {
  ReceivedBody& body = ChargedBody(message);
  if (!body.Grow(bytes, BootTimeNow())) return false;
  body.head_charge = bytes;
  return true;
}

void RequestReader::OnBodyRefused(const ClientConnection& connection) {
  // The library may not have told of its head yet.
  if (connection.message() == nullptr) return;
  RefuseUnsound(connection.message(), *connection.body_refusal());
}

void RequestReader::RefuseUnsound(SoupServerMessage* message,
                                  const ReadRefusal& refusal) {
  CountRefusal(message, refusal);
  RefuseEarly(message, refusal.status, refusal.text);
}

bool RequestReader::Reserve(SoupServerMessage* message, std::int64_t size,
                            Time now) {
  ReceivedBody& body = ChargedBody(message);
  const auto capacity = static_cast<std::int64_t>(body.bytes.capacity());
  const auto needed = static_cast<std::int64_t>(body.bytes.size()) + size;
  if (needed <= capacity) return true;
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  std::int64_t largest = options_.max_body_bytes;
  if (soup_message_headers_get_encoding(headers) ==
      SOUP_ENCODING_CONTENT_LENGTH) {
    largest = soup_message_headers_get_content_length(headers);
  }
  const std::int64_t grown =
      std::min(std::max(capacity + capacity / 2, kLeastGrowth), largest);
  const std::int64_t target = std::max(needed, grown);
  if (!body.Grow(target - capacity, now)) return false;
  body.body_charge += target - capacity;
  // std::string::reserve() would at least double what it has.
  std::string larger;
  larger.reserve(static_cast<std::size_t>(target));
  larger.append(body.bytes);
  body.bytes.swap(larger);
  return true;
}

bool RequestReader::StartRunning(SoupServerMessage* message) {
  ReceivedBody& body = BodyOf(message);
  if (!body.budget) return true;
  const auto size = static_cast<std::int64_t>(body.bytes.size());
  // Otherwise the request itself could be evicted.
  body.budget->Pin(body.holder);
  if (body.Grow(kCopiesWhileRunning * size + body.head_charge, BootTimeNow())) {
    return true;
  }
  LogLimit(message, kServiceUnavailable, kNoMemoryText);
  RefuseEarly(message, kServiceUnavailable, kNoMemoryText);
  return false;
}

void RequestReader::Evict(SoupServerMessage* message) {
  if (!guard_.IsRead(message)) return;
  LogLimit(message, kServiceUnavailable, kNoMemoryText);
  RefuseEarly(message, kServiceUnavailable, kNoMemoryText);
  soup_message_headers_clear(soup_server_message_get_request_headers(message));
}

void RequestReader::LogLimit(SoupServerMessage* message, int status,
                             std::string_view text) {
  Log(LogLevel::kWarning, "client_limited",
      {{"client", ClientOf(message)}, {"status", status}, {"limit", text}});
  if (options_.metrics == nullptr) return;
  options_.metrics->counter("clients_limited_total").Add();
}

void RequestReader::Add(SoupServerMessage* message) {
  g_signal_connect(message, "got-headers", G_CALLBACK(&OnGotHeaders), this);
  g_signal_connect(message, "got-chunk", G_CALLBACK(&OnGotChunk), this);
  g_signal_connect(message, "got-body", G_CALLBACK(&OnGotBody), this);
}

void RequestReader::Remove(SoupServerMessage* message) {
  guard_.Remove(message);
}

void RequestReader::OnGotHeaders(SoupServerMessage* message, gpointer data) {
  auto* self = static_cast<RequestReader*>(data);
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  self->guard_.Add(message, BootTimeNow());
  RequestHead head = ConnectionOf(message)->TakeHead(message);
  if (!head.refusal) head.refusal = ConnectionOf(message)->body_refusal();
  if (head.ends_connection) {
    self->Remove(message);
    // Closed when it is released. At the end of its input, libsoup would hold
    // a connection for ever.
    const GObjectPtr<GIOStream> stream(
        soup_server_message_steal_connection(message));
    return;
  }
  if (head.refusal) {
    self->RefuseUnsound(message, *head.refusal);
    return;
  }
  BodyOf(message).target = std::move(head.target);
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  const HeaderSize size = SizeOf(headers);
  if (size.bytes > self->options_.max_header_bytes) {
    self->RefuseEarly(message, 431, "the headers are too large");
    return;
  }
  if (!self->ChargeHead(message, size.bytes + kFieldBytes * size.fields)) {
    self->RefuseNow(message, kServiceUnavailable, kNoMemoryText);
    return;
  }
  if (soup_message_headers_get_encoding(headers) ==
          SOUP_ENCODING_CONTENT_LENGTH &&
      soup_message_headers_get_content_length(headers) >
          self->options_.max_body_bytes) {
    self->RefuseEarly(message, 413, "the body is too large");
  }
}

void RequestReader::OnGotChunk(SoupServerMessage* message, GBytes* chunk,
                               gpointer data) {
  auto* self = static_cast<RequestReader*>(data);
  gsize size = 0;
  const auto* piece = static_cast<const char*>(g_bytes_get_data(chunk, &size));
  ReceivedBody& body = BodyOf(message);
  body.received += static_cast<std::int64_t>(size);
  self->guard_.OnBody(message, static_cast<std::int64_t>(size));
  if (++body.pieces % kPiecesBetweenBreaks == 0) self->YieldReading(message);
  const bool refused = soup_server_message_get_status(message) != 0;
  if (refused) return;
  if (body.received > self->options_.max_body_bytes) {
    self->RefuseEarly(message, 413, "the body is too large");
    return;
  }
  if (body.pieces > kMaxPieces) {
    self->RefuseEarly(message, 400, "the body has too many chunks");
    return;
  }
  const Time now = BootTimeNow();
  if (!self->Reserve(message, static_cast<std::int64_t>(size), now)) {
    self->LogLimit(message, kServiceUnavailable, kNoMemoryText);
    self->RefuseEarly(message, kServiceUnavailable, kNoMemoryText);
    return;
  }
  body.bytes.append(piece, size);
  body.progress += static_cast<std::int64_t>(size);
  if (body.budget && body.progress >= kProgressBytes) {
    body.progress = 0;
    body.budget->OnProgress(body.holder, now);
  }
  self->LimitReading();
}

void RequestReader::YieldReading(SoupServerMessage* message) {
  struct Break {
    RequestReader* reader;
    GObjectPtr<SoupServerMessage> message;
  };
  soup_server_message_pause(message);
  std::erase_if(breaks_, [](const GSourcePtr& source) {
    return g_source_is_destroyed(source.get());
  });
  GSource* source = g_idle_source_new();
  g_source_set_priority(source, G_PRIORITY_DEFAULT);
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        const auto* pause = static_cast<Break*>(data);
        if (pause->reader->guard_.IsRead(pause->message.get())) {
          soup_server_message_unpause(pause->message.get());
        }
        return G_SOURCE_REMOVE;
      },
      new Break{this, ShareGObject(message)},
      [](gpointer data) { delete static_cast<Break*>(data); });
  g_source_attach(source, context_);
  breaks_.emplace_back(source);
}

void RequestReader::LimitReading() {
  while (guard_.body_bytes() > options_.max_reading_bytes) {
    SoupServerMessage* largest = guard_.Largest();
    if (largest == nullptr) return;
    RefuseEarly(largest, 503, "too many requests are being read");
  }
}

void RequestReader::OnGotBody(SoupServerMessage* message, gpointer self) {
  static_cast<RequestReader*>(self)->guard_.Remove(message);
}

void RequestReader::CountRefusal(SoupServerMessage* message,
                                 const ReadRefusal& refusal) {
  Log(LogLevel::kInfo, "request_not_read",
      {{"status", refusal.status},
       {"reason", refusal.text},
       {"client", ClientOf(message)}});
  if (options_.metrics != nullptr) {
    options_.metrics->counter("requests_not_read_total").Add();
  }
}

void RequestReader::EndReading(SoupServerMessage* message,
                               const ReadRefusal& refusal) {
  CountRefusal(message, refusal);
  SendRefusal(message, refusal.status, refusal.text);
  end_(message);
}

void RequestReader::RefuseNow(SoupServerMessage* message, int status,
                              std::string_view text) {
  LogLimit(message, status, text);
  RefuseEarly(message, status, text);
  soup_message_headers_clear(soup_server_message_get_request_headers(message));
  SendRefusal(message, status, text);
  GSocket* socket = SocketOf(message);
  if (socket != nullptr) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void RequestReader::SendRefusal(SoupServerMessage* message, int status,
                                std::string_view text) {
  GSocket* socket = SocketOf(message);
  if (socket == nullptr) return;
  if (!options_.tls) {
    const std::string body = limit_handler_(status, text);
    const std::string answer = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
        "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
        status, soup_status_get_phrase(static_cast<guint>(status)), body.size(),
        body);
    // Earlier answers that the client hasn't read may have left no room. It
    // then gets no refusal; waiting would stop the whole task.
    g_socket_send_with_blocking(socket, answer.data(), answer.size(), FALSE,
                                nullptr, nullptr);
  }
}

void RequestReader::RefuseEarly(SoupServerMessage* message, int status,
                                std::string_view text) {
  const std::string body = limit_handler_(status, text);
  ReceivedBody& received = BodyOf(message);
  if (received.budget) {
    received.budget->Charge(received.holder, -received.body_charge);
    received.body_charge = 0;
  }
  std::string().swap(received.bytes);
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Connection", "close");
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, body.data(), body.size());
  guard_.OnRefused(message, {.status = status, .text = std::string(text)});
}

}  // namespace cassiausher
