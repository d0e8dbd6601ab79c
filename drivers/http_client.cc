#include "drivers/http_client.h"

#include <array>

namespace cassiausher {
namespace {

constexpr int kMaxConnections = 256;
constexpr int kMaxConnectionsPerHost = 256;
// An idle connection older than this is closed before a middlebox forgets it.
constexpr int kIdleTimeoutSeconds = 20;
// One buffer for each open call; 10,000 streams hold 80 MB of them.
constexpr gsize kReadBytes = 8 << 10;
// libsoup walks all calls of a session, and for each its connections, whenever
// one call moves on. With 2,500 calls in one session a task did nothing else.
constexpr int kCallsPerSession = 64;

}  // namespace

struct HttpClient::Session {
  GObjectPtr<SoupSession> soup;
  int calls = 0;
};

struct HttpClient::Pending {
  std::shared_ptr<Session> session;
  HttpClient* client = nullptr;
  CallId id = 0;
  HttpCallSink* sink = nullptr;  // Null once cancelled.
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable;
  GObjectPtr<GInputStream> stream;
  bool sent = false;
  /// Answered 421, which libsoup would answer by sending the call again.
  bool misdirected = false;
  std::array<char, kReadBytes> buffer;
};

HttpClient::HttpClient() = default;

HttpClient::~HttpClient() {
  for (auto& [id, pending] : pending_) {
    pending->sink = nullptr;
    pending->client = nullptr;
    g_cancellable_cancel(pending->cancellable.get());
  }
  for (const auto& session : sessions_) {
    soup_session_abort(session->soup.get());
  }
}

std::shared_ptr<HttpClient::Session> HttpClient::SessionWithRoom() {
  for (const auto& session : sessions_) {
    if (session->calls < kCallsPerSession) return session;
  }
  auto session = std::make_shared<Session>();
  session->soup.reset(soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host",
      kMaxConnectionsPerHost, "idle-timeout", kIdleTimeoutSeconds, "timeout", 0,
      nullptr));
  // Without this feature a call is exactly what the driver wrote.
  soup_session_remove_feature_by_type(session->soup.get(),
                                      SOUP_TYPE_CONTENT_DECODER);
  sessions_.push_back(session);
  return session;
}

HttpClient::CallId HttpClient::Start(const HttpCall& call, HttpCallSink* sink) {
  auto* pending = new Pending;
  pending->client = this;
  pending->id = next_id_++;
  pending->sink = sink;
  pending->session = SessionWithRoom();
  ++pending->session->calls;
  pending->cancellable.reset(g_cancellable_new());
  pending->message.reset(
      soup_message_new(call.method.c_str(), call.url.c_str()));
  pending_[pending->id] = pending;
  if (!pending->message) {
    // Reported from the main loop, so that the caller has the id by then.
    GSource* source = g_idle_source_new();
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
          Done(static_cast<Pending*>(data), "the URL is malformed");
          return G_SOURCE_REMOVE;
        },
        pending, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    g_source_unref(source);
    return pending->id;
  }
  SoupMessage* message = pending->message.get();
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
  if (call.new_connection) {
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  }
  if (call.repeatable && !call.new_connection) {
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  }
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  for (const auto& [name, value] : call.headers) {
    soup_message_headers_append(headers, name.c_str(), value.c_str());
  }
  if (call.method != "GET" || !call.body.empty()) {
    const GBytesPtr body(g_bytes_new(call.body.data(), call.body.size()));
    const char* type =
        call.content_type.empty() ? nullptr : call.content_type.c_str();
    soup_message_set_request_body_from_bytes(message, type, body.get());
  }
  // From here on the far end may have seen the call.
  g_signal_connect_swapped(message, "starting",
                           G_CALLBACK(+[](Pending* p) { p->sent = true; }),
                           pending);
  g_signal_connect_swapped(message, "got-headers", G_CALLBACK(+[](Pending* p) {
                             if (soup_message_get_status(p->message.get()) !=
                                 SOUP_STATUS_MISDIRECTED_REQUEST) {
                               return;
                             }
                             p->misdirected = true;
                             g_cancellable_cancel(p->cancellable.get());
                           }),
                           pending);
  soup_session_send_async(pending->session->soup.get(), message,
                          G_PRIORITY_DEFAULT, pending->cancellable.get(),
                          &HttpClient::OnSent, pending);
  return pending->id;
}

void HttpClient::Cancel(CallId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  Pending* pending = found->second;
  pending_.erase(found);
  pending->sink = nullptr;
  pending->client = nullptr;
  g_cancellable_cancel(pending->cancellable.get());
}

bool HttpClient::WasSent(CallId id) const {
  const auto found = pending_.find(id);
  return found != pending_.end() && found->second->sent;
}

void HttpClient::Done(Pending* pending, std::string_view error) {
  HttpCallSink* sink = pending->sink;
  const bool sent = pending->sent;
  if (pending->client != nullptr) pending->client->pending_.erase(pending->id);
  if (pending->message) {
    g_signal_handlers_disconnect_by_data(pending->message.get(), pending);
  }
  --pending->session->calls;
  delete pending;
  if (sink != nullptr) sink->OnDone(error, sent);
}

void HttpClient::OnSent(GObject* source, GAsyncResult* result, gpointer data) {
  auto* pending = static_cast<Pending*>(data);
  GError* error = nullptr;
  pending->stream.reset(
      soup_session_send_finish(SOUP_SESSION(source), result, &error));
  if (!pending->stream && pending->misdirected) {
    const GErrorPtr owned(error);
    if (pending->sink != nullptr) {
      pending->sink->OnHeaders(
          SOUP_STATUS_MISDIRECTED_REQUEST,
          soup_message_get_response_headers(pending->message.get()));
    }
    Done(pending, {});
    return;
  }
  if (!pending->stream) {
    const GErrorPtr owned(error);
    Done(pending, owned ? owned->message : "the call failed");
    return;
  }
  if (pending->sink != nullptr) {
    pending->sink->OnHeaders(
        static_cast<int>(soup_message_get_status(pending->message.get())),
        soup_message_get_response_headers(pending->message.get()));
  }
  ReadMore(pending);
}

void HttpClient::ReadMore(Pending* pending) {
  g_input_stream_read_async(pending->stream.get(), pending->buffer.data(),
                            pending->buffer.size(), G_PRIORITY_DEFAULT,
                            pending->cancellable.get(), &HttpClient::OnRead,
                            pending);
}

void HttpClient::OnRead(GObject* source, GAsyncResult* result, gpointer data) {
  auto* pending = static_cast<Pending*>(data);
  GError* error = nullptr;
  const gssize size =
      g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
  if (size < 0) {
    const GErrorPtr owned(error);
    Done(pending, owned ? owned->message : "the connection broke");
    return;
  }
  if (size == 0) {
    Done(pending, {});
    return;
  }
  if (pending->sink != nullptr) {
    pending->sink->OnBody(
        {pending->buffer.data(), static_cast<std::size_t>(size)});
  }
  // After Cancel the next read returns the cancellation and frees the call.
  ReadMore(pending);
}

}  // namespace cassiausher
