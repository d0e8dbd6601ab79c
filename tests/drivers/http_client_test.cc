// Guards against endpoints that fail in the middle of a response: a truncated
// response must never look complete, and no call may be sent twice.
#include "drivers/http_client.h"

#include <CppUTest/TestHarness.h>
#include <gio/gio.h>

#include <atomic>
#include <string>
#include <thread>

#include "drivers/gobject_ptr.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

struct Sink : HttpCallSink {
  void OnHeaders(int code, SoupMessageHeaders*) override { status = code; }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnDone(std::string_view text, bool was_sent) override {
    done = true;
    error = std::string(text);
    sent = was_sent;
  }

  int status = 0;
  std::string body;
  std::string error;
  bool done = false;
  bool sent = false;
};

// Sends the same bytes on each connection and closes it.
class CannedServer {
 public:
  explicit CannedServer(std::string response)
      : response_(std::move(response)), listener_(g_socket_listener_new()) {
    port_ =
        g_socket_listener_add_any_inet_port(listener_.get(), nullptr, nullptr);
    thread_ = std::thread([this] { Serve(); });
  }
  ~CannedServer() {
    g_cancellable_cancel(stop_.get());
    thread_.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(port_) + "/a/../b?q=%20";
  }
  int connections() const { return connections_; }
  /// First line of the last request.
  std::string request_line() const { return request_line_; }

 private:
  void Serve() {
    for (;;) {
      const GObjectPtr<GSocketConnection> connection(g_socket_listener_accept(
          listener_.get(), nullptr, stop_.get(), nullptr));
      if (!connection) return;
      ++connections_;
      char buffer[4096];
      GInputStream* input =
          g_io_stream_get_input_stream(G_IO_STREAM(connection.get()));
      const gssize size = g_input_stream_read(input, buffer, sizeof(buffer),
                                              stop_.get(), nullptr);
      if (size > 0) {
        const std::string request(buffer, static_cast<std::size_t>(size));
        request_line_ = request.substr(0, request.find('\r'));
      }
      GOutputStream* output =
          g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
      g_output_stream_write_all(output, response_.data(), response_.size(),
                                nullptr, stop_.get(), nullptr);
    }
  }

  std::string response_;
  GObjectPtr<GSocketListener> listener_;
  GObjectPtr<GCancellable> stop_{g_cancellable_new()};
  guint16 port_ = 0;
  std::atomic<int> connections_ = 0;
  std::string request_line_;
  std::thread thread_;
};

}  // namespace

TEST_GROUP(HttpClient) {
  GMainContext* context = nullptr;
  Sink sink;

  void setup() override {
    context = g_main_context_new();
    g_main_context_push_thread_default(context);
  }
  void teardown() override {
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
  }
  void Call(const std::string& url) {
    HttpClient client;
    client.Start({.method = "GET", .url = url, .new_connection = true}, &sink);
    const gint64 deadline = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;
    while (!sink.done && g_get_monotonic_time() < deadline) {
      if (!g_main_context_iteration(context, FALSE)) g_usleep(1000);
    }
    CHECK_TRUE(sink.done);
  }
};

// An endpoint that fails between two chunks of its response.
TEST(HttpClient, ChunkedBodyTruncatedBetweenChunksIsAnError) {
  CannedServer server(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n");
  Call(server.url());
  STRCMP_EQUAL("hello", sink.body.c_str());
  CHECK_FALSE(sink.error.empty());
  CHECK_TRUE(sink.sent);
}

TEST(HttpClient, BodyShorterThanContentLengthIsAnError) {
  CannedServer server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
  Call(server.url());
  CHECK_FALSE(sink.error.empty());
}

TEST(HttpClient, BodyWithoutLengthIsCompleteWhenConnectionCloses) {
  CannedServer server("HTTP/1.1 200 OK\r\n\r\nhello");
  Call(server.url());
  STRCMP_EQUAL("hello", sink.body.c_str());
  STRCMP_EQUAL("", sink.error.c_str());
}

TEST(HttpClient, BytesAfterACompleteResponseAreIgnored) {
  CannedServer server(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\n\r\n");
  Call(server.url());
  LONGS_EQUAL(200, sink.status);
  STRCMP_EQUAL("ok", sink.body.c_str());
}

TEST(HttpClient, MalformedResponseIsAnError) {
  CannedServer server("\x01\x02 nonsense\r\n\r\n");
  Call(server.url());
  CHECK_FALSE(sink.error.empty());
  LONGS_EQUAL(0, sink.status);
}

// A resent call would count twice against the retry budget.
TEST(HttpClient, CallAnswered421IsNotResent) {
  CannedServer server(
      "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  Call(server.url());
  LONGS_EQUAL(421, sink.status);
  LONGS_EQUAL(1, server.connections());
}

TEST(HttpClient, RequestTargetIsNotNormalised) {
  CannedServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Call(server.url());
  STRCMP_EQUAL("GET /a/../b?q=%20 HTTP/1.1", server.request_line().c_str());
}

TEST(HttpClient, CallWithRefusedConnectionIsReportedAsNotSent) {
  Call("http://127.0.0.1:1/");
  CHECK_FALSE(sink.error.empty());
  CHECK_FALSE(sink.sent);
}
