#include "drivers/http_client.h"

#include <curl/curl.h>
#include <glib-unix.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

#include "drivers/answer_head.h"
#include "drivers/bytes_read.h"
#include "drivers/chunked_body.h"

namespace cassiausher {
namespace {

// Maximum idle connections that a client keeps for reuse.
constexpr long kMaxIdleConnections = 64;
// Idle connections are closed after this time, before a middlebox drops their
// state.
constexpr long kIdleTimeoutSeconds = 20;
// Size of the read buffer, of which each open call has one.
constexpr long kReadBufferBytes = 8 << 10;
// Limits of the header lines of one call, over all its informational answers
// and the final one. Each line takes more memory than its text.
constexpr std::int64_t kMaxHeaderBytes = 32 << 10;
// What a connection may carry until the headers are complete: these, the
// handshake of TLS and one read buffer. Ends a header line without end before
// libcurl does, which keeps up to 100 KiB of it.
constexpr std::int64_t kMaxBytesBeforeBody = kMaxHeaderBytes + (16 << 10);
constexpr int kMaxHeaderLines = 512;
// Limit of the bytes of a body that aren't content: sizes and extensions of
// chunks, and trailers. A chunk of one byte takes five of them.
constexpr std::int64_t kMaxFramingBytes = 16 << 10;
constexpr std::int64_t kMaxFramingPerContentByte = 8;
// libcurl reports longer trailer lines as a malformed body.
constexpr std::int64_t kMaxTrailerLineBytes = 4 << 10;

struct SlistFree {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using SlistPtr = std::unique_ptr<curl_slist, SlistFree>;

GSourcePtr AttachSource(GSource* source, GMainContext* context) {
  g_source_attach(source, context);
  return GSourcePtr(source);
}

}  // namespace

struct HttpClient::Pending {
  CallId id = 0;
  HttpCallSink* sink = nullptr;
  CURL* easy = nullptr;
  CURLM* multi = nullptr;
  SlistPtr request_headers;
  std::string request_body;
  Loop* loop = nullptr;

  // Received but not yet delivered. Sinks may start or cancel calls, which
  // isn't allowed in libcurl's callbacks, so they are called afterwards.
  AnswerHead head;
  /// The body's chunks, once there are any.
  std::optional<ChunkedBody> chunks;
  bool is_chunking_unsound = false;
  bool headers_delivered = false;
  std::string body;
  bool done = false;
  std::string error;
  bool sent = false;

  /// Of the connection that was opened for this call. None if an open one is
  /// used, which has carried other answers.
  curl_socket_t new_socket = CURL_SOCKET_BAD;

  // Received so far, for the limits.
  std::int64_t header_bytes = 0;
  int header_lines = 0;
  /// Body with its chunk framing and trailers, as received.
  std::int64_t raw_body_bytes = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t content_bytes = 0;
  /// The limit that the answer exceeds; empty if none.
  std::string_view excess;
  bool connect_only = false;
  /// Answers to HEAD have none.
  bool has_body = true;

  ~Pending() {
    if (easy == nullptr) return;
    curl_multi_remove_handle(multi, easy);
    curl_easy_cleanup(easy);
  }

  bool Sent() const {
    curl_off_t pretransfer_us = 0;
    curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
    return pretransfer_us > 0;
  }

  /// Returns whether the answer stays within the limits.
  bool CountHeaderLine(std::size_t bytes) {
    header_bytes += static_cast<std::int64_t>(bytes);
    ++header_lines;
    if (header_bytes > kMaxHeaderBytes || header_lines > kMaxHeaderLines) {
      excess = "too many headers";
    }
    return excess.empty();
  }

  void CountRawBody(std::size_t bytes) {
    raw_body_bytes += static_cast<std::int64_t>(bytes);
  }

  /// Returns whether the answer stays within the limits.
  bool CountContent(std::size_t bytes) {
    content_bytes += static_cast<std::int64_t>(bytes);
    const bool limited = max_body_bytes > 0;
    if (limited && content_bytes > max_body_bytes)
      excess = "the body is too long";
    return excess.empty();
  }

  std::int64_t FramingBytes() const { return raw_body_bytes - content_bytes; }

  bool FramingIsWithinLimit() {
    const std::int64_t limit =
        kMaxFramingBytes + kMaxFramingPerContentByte * content_bytes;
    if (FramingBytes() > limit) excess = "too much chunk framing";
    return excess.empty();
  }

  /// Looks at the connection, since libcurl doesn't tell of incomplete lines.
  bool HeadIsWithinLimit() {
    if (head.complete()) return excess.empty();
    if (new_socket == CURL_SOCKET_BAD) return excess.empty();
    const std::int64_t read = BytesRead(new_socket).value_or(0);
    if (read > kMaxBytesBeforeBody) excess = "too many headers";
    return excess.empty();
  }

  // Called by libcurl. They return the number of bytes taken, or 0 to end the
  // transfer.
  std::size_t OnHeaderLine(std::string_view line);
  std::size_t OnContent(std::string_view bytes);

  /// Whether the answer's body has neither a length nor chunks.
  bool EndsWithConnection() const {
    SoupMessageHeaders* headers = head.headers().get();
    return soup_message_headers_get_one(headers, "Content-Length") == nullptr &&
           soup_message_headers_get_one(headers, "Transfer-Encoding") ==
               nullptr;
  }

  bool RequestIsWritten() const {
    curl_off_t written = 0;
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &written);
    return written >= static_cast<curl_off_t>(request_body.size());
  }

  bool ExpectsChunks() const {
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return has_body && head.has_chunks() && head.status() != kNoContent &&
           head.status() != kNotModified;
  }

  /// What is wrong with a transfer that libcurl takes for complete; empty if
  /// nothing is.
  std::string_view FaultOfCompleteTransfer() const {
    if (connect_only) return {};
    // libcurl takes a connection that ends inside the head for the end of an
    // empty body.
    if (!head.complete()) return "the answer has no head";
    if (ExpectsChunks() && !(chunks && chunks->complete())) {
      return "the chunked body isn't complete";
    }
    // A write to a connection that was reset consumes the error, so that the
    // next read sees an ordinary end.
    if (EndsWithConnection() && !RequestIsWritten()) {
      return "the connection ended before the request was written";
    }
    return {};
  }

  void OnTransferEnd(CURLcode result) {
    done = true;
    sent = Sent();
    if (result == CURLE_OK) {
      error = FaultOfCompleteTransfer();
      return;
    }
    error = curl_easy_strerror(result);
    if (!head.fault().empty()) error = head.fault();
    if (is_chunking_unsound) error = "the chunked body isn't sound";
    // libcurl ends a header line of 100 KiB so.
    if (result == CURLE_OUT_OF_MEMORY) excess = "a header line is too long";
    if (result == CURLE_RECV_ERROR && FramingBytes() > kMaxTrailerLineBytes) {
      excess = "a trailer line is too long";
    }
    if (!excess.empty()) error = excess;
  }
};

// Drives libcurl's transfers from a GLib main context.
struct HttpClient::Loop {
  HttpClient* client = nullptr;
  GMainContext* context = nullptr;
  CURLM* multi = nullptr;
  std::map<curl_socket_t, GSourcePtr> sockets;
  GSourcePtr timer;
  /// Calls that have something to deliver, in order of arrival.
  std::deque<CallId> ready;

  explicit Loop(HttpClient* owner) : client(owner), multi(curl_multi_init()) {
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }
  ~Loop() {
    sockets.clear();
    timer.reset();
    curl_multi_cleanup(multi);
  }

  static int OnSocket(CURL*, curl_socket_t socket, int what, void* data,
                      void*) {
    auto* self = static_cast<Loop*>(data);
    self->sockets.erase(socket);
    if (what == CURL_POLL_REMOVE) return 0;
    int condition = G_IO_ERR | G_IO_HUP;
    if ((what & CURL_POLL_IN) != 0) condition |= G_IO_IN;
    if ((what & CURL_POLL_OUT) != 0) condition |= G_IO_OUT;
    GSource* source =
        g_unix_fd_source_new(socket, static_cast<GIOCondition>(condition));
    const GUnixFDSourceFunc ready = [](gint descriptor, GIOCondition events,
                                       gpointer loop) -> gboolean {
      int mask = 0;
      if ((events & (G_IO_IN | G_IO_HUP)) != 0) mask |= CURL_CSELECT_IN;
      if ((events & G_IO_OUT) != 0) mask |= CURL_CSELECT_OUT;
      if ((events & G_IO_ERR) != 0) mask |= CURL_CSELECT_ERR;
      static_cast<Loop*>(loop)->DriveTransfers(descriptor, mask);
      return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, G_SOURCE_FUNC(ready), self, nullptr);
    self->sockets[socket] = AttachSource(source, self->context);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* data) {
    auto* self = static_cast<Loop*>(data);
    self->timer.reset();
    if (timeout_ms < 0) return 0;
    GSource* source = g_timeout_source_new(static_cast<guint>(timeout_ms));
    g_source_set_callback(
        source,
        [](gpointer loop) -> gboolean {
          static_cast<Loop*>(loop)->DriveTransfers(CURL_SOCKET_TIMEOUT, 0);
          return G_SOURCE_REMOVE;
        },
        self, nullptr);
    self->timer = AttachSource(source, self->context);
    return 0;
  }

  void DriveTransfers(curl_socket_t socket, int mask) {
    int running = 0;
    curl_multi_socket_action(multi, socket, mask, &running);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Pending* pending = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &pending);
      pending->OnTransferEnd(message->data.result);
      ready.push_back(pending->id);
    }
    client->Deliver();
  }
};

std::size_t HttpClient::Pending::OnHeaderLine(std::string_view line) {
  if (!CountHeaderLine(line.size())) return 0;
  const bool was_complete = head.complete();
  if (!head.Add(line)) return 0;
  if (head.complete() && !was_complete) loop->ready.push_back(id);
  return line.size();
}

std::size_t HttpClient::Pending::OnContent(std::string_view bytes) {
  if (!head.complete()) return 0;
  const std::size_t before = body.size();
  if (!head.has_chunks()) {
    body.append(bytes);
  } else {
    if (!chunks) chunks.emplace();
    if (!chunks->Read(bytes, &body)) {
      body.resize(before);
      is_chunking_unsound = true;
      return 0;
    }
  }
  if (!CountContent(body.size() - before)) {
    body.resize(before);
    return 0;
  }
  loop->ready.push_back(id);
  return bytes.size();
}

HttpClient::HttpClient() = default;

HttpClient::~HttpClient() { pending_.clear(); }

HttpClient::CallId HttpClient::Start(const HttpCall& call, HttpCallSink* sink) {
  if (!loop_) {
    loop_ = std::make_unique<Loop>(this);
    loop_->context = g_main_context_get_thread_default();
  }
  const CallId id = next_id_++;
  auto pending = std::make_unique<Pending>();
  pending->id = id;
  pending->sink = sink;
  pending->loop = loop_.get();
  pending->multi = loop_->multi;
  pending->easy = curl_easy_init();
  Prepare(call, pending.get());
  curl_multi_add_handle(loop_->multi, pending->easy);
  pending_[id] = std::move(pending);
  return id;
}

void HttpClient::Prepare(const HttpCall& call, Pending* pending) {
  CURL* easy = pending->easy;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, pending);
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReadBufferBytes);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kIdleTimeoutSeconds);
  pending->max_body_bytes = call.max_body_bytes;
  pending->connect_only = call.connect_only;
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(ToMilliseconds(call.timeout)));
  // libcurl resends a call when a pooled connection turns out to be closed.
  const bool fresh =
      call.new_connection || (!call.repeatable && call.method != "GET");
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.new_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, call.connect_only ? 1L : 0L);

  pending->request_body = call.body;
  const bool has_body = !call.body.empty() || call.method == "POST" ||
                        call.method == "PUT" || call.method == "PATCH";
  if (has_body) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(pending->request_body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, pending->request_body.data());
  }
  pending->has_body = call.method != "HEAD";
  if (!pending->has_body) curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  // Chunks are read by ChunkedBody; libcurl only looks for the last one.
  curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());

  // A header line without a value stops libcurl from adding its default header.
  curl_slist* list = nullptr;
  bool has_accept = false;
  bool has_content_type = !call.content_type.empty();
  for (const auto& [name, value] : call.headers) {
    has_accept |= g_ascii_strcasecmp(name.c_str(), "Accept") == 0;
    has_content_type |= g_ascii_strcasecmp(name.c_str(), "Content-Type") == 0;
    // libcurl sends a header with an empty value if it ends in a semicolon.
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    list = curl_slist_append(list, line.c_str());
  }
  if (has_body && !call.content_type.empty()) {
    const std::string line = "Content-Type: " + call.content_type;
    list = curl_slist_append(list, line.c_str());
  }
  if (!has_accept) list = curl_slist_append(list, "Accept:");
  if (!has_content_type) list = curl_slist_append(list, "Content-Type:");
  list = curl_slist_append(list, "Expect:");
  pending->request_headers.reset(list);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);

  const curl_write_callback on_header = [](char* data, std::size_t size,
                                           std::size_t count,
                                           void* user) -> std::size_t {
    return static_cast<Pending*>(user)->OnHeaderLine({data, size * count});
  };
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, pending);

  const curl_write_callback on_body = [](char* data, std::size_t size,
                                         std::size_t count,
                                         void* user) -> std::size_t {
    return static_cast<Pending*>(user)->OnContent({data, size * count});
  };
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, pending);
  WatchLimits(pending);
}

// Only libcurl's debug callback gets the body as received, with its framing. It
// can't end the transfer, so the progress callback does, which follows each
// read.
void HttpClient::WatchLimits(Pending* pending) {
  CURL* easy = pending->easy;
  const curl_debug_callback on_debug = [](CURL*, curl_infotype type, char*,
                                          std::size_t size, void* user) {
    if (type == CURLINFO_DATA_IN)
      static_cast<Pending*>(user)->CountRawBody(size);
    return 0;
  };
  curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
  curl_easy_setopt(easy, CURLOPT_DEBUGDATA, pending);
  curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
  const curl_xferinfo_callback on_progress =
      [](void* user, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
        auto* self = static_cast<Pending*>(user);
        const bool within =
            self->FramingIsWithinLimit() && self->HeadIsWithinLimit();
        return within ? 0 : 1;
      };
  curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
  curl_easy_setopt(easy, CURLOPT_XFERINFODATA, pending);
  curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
  const curl_sockopt_callback on_socket = [](void* user, curl_socket_t socket,
                                             curlsocktype) -> int {
    static_cast<Pending*>(user)->new_socket = socket;
    return CURL_SOCKOPT_OK;
  };
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, pending);
}

void HttpClient::Cancel(CallId id) { pending_.erase(id); }

void HttpClient::Pause(CallId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  curl_easy_pause(found->second->easy, CURLPAUSE_RECV);
}

void HttpClient::Resume(CallId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
}

bool HttpClient::WasSent(CallId id) const {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return false;
  return found->second->sent || found->second->Sent();
}

void HttpClient::Deliver() {
  while (!loop_->ready.empty()) {
    const CallId id = loop_->ready.front();
    loop_->ready.pop_front();
    DeliverOne(id);
  }
}

// Any callback of the sink may cancel this call or others.
void HttpClient::DeliverOne(CallId id) {
  auto found = pending_.find(id);
  if (found == pending_.end()) return;
  Pending* pending = found->second.get();
  if (pending->head.complete() && !pending->headers_delivered) {
    pending->headers_delivered = true;
    // Keeps the headers alive if the sink cancels the call.
    const SoupHeadersPtr headers(
        soup_message_headers_ref(pending->head.headers().get()));
    pending->sink->OnHeaders(pending->head.status(), headers.get());
    if (!pending_.contains(id)) return;
  }
  // Invariant: what follows belongs to an answer that has begun.
  if (!pending->body.empty()) {
    const std::string body = std::exchange(pending->body, {});
    pending->sink->OnBody(body);
    if (!pending_.contains(id)) return;
  }
  if (!pending->done) return;
  const std::unique_ptr<Pending> ended = std::move(pending_.at(id));
  pending_.erase(id);
  if (!ended->excess.empty()) ended->sink->OnExcess(ended->excess);
  ended->sink->OnDone(ended->error, ended->sent);
}

}  // namespace cassiausher
