#include "drivers/request_reader.h"

#include <fmt/format.h>

#include <cstring>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/received_body.h"

namespace cassiausher {
namespace {

// Size of a request's headers as sent: name, colon, space, value and CRLF.
std::int64_t HeaderBytes(SoupMessageHeaders* headers) {
  std::int64_t bytes = 0;
  soup_message_headers_foreach(
      headers,
      [](const char* name, const char* value, gpointer total) {
        *static_cast<std::int64_t*>(total) +=
            static_cast<std::int64_t>(std::strlen(name) + std::strlen(value)) +
            4;
      },
      &bytes);
  return bytes;
}

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
      guard_(context, options.read_timeout,
             [this](SoupServerMessage* message, const ReadRefusal& refusal) {
               EndReading(message, refusal);
             }) {}

void RequestReader::Add(SoupServerMessage* message) {
  g_signal_connect(message, "got-headers", G_CALLBACK(&OnGotHeaders), this);
  g_signal_connect(message, "got-chunk", G_CALLBACK(&OnGotChunk), this);
  g_signal_connect(message, "got-body", G_CALLBACK(&OnGotBody), this);
  guard_.Add(message);
}

void RequestReader::Remove(SoupServerMessage* message) {
  guard_.Remove(message);
}

void RequestReader::OnGotHeaders(SoupServerMessage* message, gpointer data) {
  auto* self = static_cast<RequestReader*>(data);
  self->guard_.OnHeaders(message, BootTimeNow());
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  if (HeaderBytes(headers) > self->options_.max_header_bytes) {
    self->RefuseEarly(message, 431, "the headers are too large");
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
  body.bytes.append(piece, size);
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

void RequestReader::EndReading(SoupServerMessage* message,
                               const ReadRefusal& refusal) {
  Log(LogLevel::kInfo, "request_not_read",
      {{"status", refusal.status}, {"reason", refusal.text}});
  if (options_.metrics != nullptr) {
    options_.metrics->counter("requests_not_read_total").Add();
  }
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) return;
  if (!options_.tls) {
    const std::string body = limit_handler_(refusal.status, refusal.text);
    const std::string answer = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
        "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
        refusal.status,
        soup_status_get_phrase(static_cast<guint>(refusal.status)), body.size(),
        body);
    // The socket has room: nothing was sent for this request.
    g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
  }
  end_(message);
}

void RequestReader::RefuseEarly(SoupServerMessage* message, int status,
                                std::string_view text) {
  const std::string body = limit_handler_(status, text);
  BodyOf(message).bytes = {};
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Connection", "close");
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, body.data(), body.size());
  guard_.OnRefused(message, {.status = status, .text = std::string(text)});
}

}  // namespace cassiausher
