// Guards against endpoints that fail in the middle of a response: a truncated
// response must never look complete, and no call may be sent twice.
#include "drivers/http_client.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "drivers/chunked_body.h"
#include "tests/drivers/canned_server.h"
#include "tests/drivers/odd_requests.h"

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
  void OnExcess(std::string_view) override { excessive = true; }

  int status = 0;
  std::string body;
  std::string error;
  bool done = false;
  bool excessive = false;
  bool sent = false;
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
    Run(5 * G_USEC_PER_SEC, [this] { return sink.done; });
    CHECK_TRUE(sink.done);
  }
  // Runs the loop until `ended` or the time is over.
  template <typename Ended>
  void Run(gint64 microseconds, Ended ended) {
    const gint64 deadline = g_get_monotonic_time() + microseconds;
    while (!ended() && g_get_monotonic_time() < deadline) {
      if (!g_main_context_iteration(context, FALSE)) g_usleep(1000);
    }
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

// libcurl took a length by its first digits, an unknown coding for none, and
// any byte after a chunk's size for an extension.
TEST(HttpClient, AnswersWithoutSoundFramingAreErrors) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& rest :
       {std::string("Content-Length: 4x\r\n\r\nabcd"),
        std::string("Content-Length: +4\r\n\r\nabcd"),
        std::string("Content-Length: -4\r\n\r\nabcd"),
        std::string("Content-Length:\r\n\r\nabcd"),
        std::string("Content-Length: 4 4\r\n\r\nabcd"),
        std::string("Content-Length: 99999999999999999999\r\n\r\nabcd"),
        std::string(
            "Transfer-Encoding: xchunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"),
        std::string("Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"),
        std::string("Transfer-Encoding: identity\r\n\r\nabcd"),
        chunked + "4x\r\nabcd\r\n0\r\n\r\n",
        chunked + "4 \r\nabcd\r\n0\r\n\r\n",
        chunked + "4\nabcd\r\n0\r\n\r\n",
        chunked + "0x4\r\nabcd\r\n0\r\n\r\n",
        chunked + "4\r\nabcd\n0\r\n\r\n",
        chunked + "4\r\nabcd0\r\n\r\n",
        chunked + "10000000000000004\r\nabcd\r\n0\r\n\r\n",
        chunked + "4\r\nabcd\r\n0\r\n",
        chunked + "4\r\nabcd\r\n0\n\n",
        chunked + "4\r\nabcd\r\n0\r\nno trailer\r\n\r\n",
        chunked + "4\r\nabcd\r\n0\r\nX: a\r\n b\r\n\r\n"}) {
    CannedServer server("HTTP/1.1 200 OK\r\n" + rest);
    sink = {};
    Call(server.url());
    CHECK_FALSE_TEXT(sink.error.empty(), rest.c_str());
  }
}

TEST(HttpClient, SoundChunksArriveWholeWhereverTheyAreCut) {
  constexpr std::uint64_t kSeeds = 500;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RequestMaker maker(seed);
    const MadeRequest made = maker.Chunks();
    ChunkedBody body;
    std::string content;
    for (const std::string& piece : maker.Split(made.bytes)) {
      CHECK_FALSE(body.complete());
      CHECK(body.Read(piece, &content));
    }
    CHECK(body.complete());
    CHECK(made.body == content);
  }
}

TEST(HttpClient, MalformedResponseIsAnError) {
  CannedServer server("\x01\x02 nonsense\r\n\r\n");
  Call(server.url());
  CHECK_FALSE(sink.error.empty());
  LONGS_EQUAL(0, sink.status);
}

// An endpoint that answers with another status in place of 200: the sink read
// the body of an answer that it had no head of.
TEST(HttpClient, BytesWithoutASoundHeadAreNoAnswer) {
  for (const char* head :
       {"HTTP/1.1 101 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 OK",
        "HTTP/1.1 099 OK", "HTTP/1.1 000 OK", "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK", "HTTP/1.1 200 OK\r\nno header",
        "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK"}) {
    CannedServer server(std::string(head) +
                        "\r\nContent-Length: 5\r\n\r\nhello");
    sink = Sink();
    Call(server.url());
    LONGS_EQUAL_TEXT(0, sink.status, head);
    STRCMP_EQUAL_TEXT("", sink.body.c_str(), head);
    CHECK_TRUE_TEXT(!sink.error.empty(), head);
    CHECK_TRUE_TEXT(sink.sent, head);
  }
}

TEST(HttpClient, InformationalAnswersAreSkipped) {
  CannedServer server(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
      "HTTP/1.1 102 Processing\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  Call(server.url());
  LONGS_EQUAL(200, sink.status);
  STRCMP_EQUAL("hello", sink.body.c_str());
  STRCMP_EQUAL("", sink.error.c_str());
}

// The connection ends inside the head: libcurl reports an empty body.
TEST(HttpClient, AHeadThatEndsMidwayIsAnError) {
  const std::string head =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n";
  for (std::size_t length = 0; length < head.size(); ++length) {
    const std::string text = head.substr(0, length);
    CannedServer server(text);
    sink = Sink();
    Call(server.url());
    LONGS_EQUAL_TEXT(0, sink.status, text.c_str());
    CHECK_TRUE_TEXT(!sink.error.empty(), text.c_str());
  }
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

namespace {

// Sends a head once and a piece again and again until the connection ends or
// `kEndlessBytes` were sent. Nothing follows the head if the piece is empty.
class EndlessServer {
 public:
  static constexpr std::size_t kEndlessBytes = std::size_t{8} << 20;

  EndlessServer(std::string head, const std::string& piece)
      : head_(std::move(head)), listener_(g_socket_listener_new()) {
    while (!piece.empty() && block_.size() < kBlockBytes) block_ += piece;
    port_ =
        g_socket_listener_add_any_inet_port(listener_.get(), nullptr, nullptr);
    thread_ = std::thread([this] { Serve(); });
  }
  ~EndlessServer() {
    g_cancellable_cancel(stop_.get());
    thread_.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(port_) + "/";
  }

 private:
  static constexpr std::size_t kBlockBytes = 4096;

  void Serve() {
    const GObjectPtr<GSocketConnection> connection(g_socket_listener_accept(
        listener_.get(), nullptr, stop_.get(), nullptr));
    if (!connection) return;
    GOutputStream* output =
        g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
    bool open = Send(output, head_);
    const std::size_t total = block_.empty() ? 0 : kEndlessBytes;
    for (std::size_t sent = 0; open && sent < total;) {
      open = Send(output, block_);
      sent += block_.size();
    }
    // Holds the connection, so that its end doesn't end the call.
    while (open && !g_cancellable_is_cancelled(stop_.get())) g_usleep(1000);
  }
  bool Send(GOutputStream* output, const std::string& bytes) {
    return g_output_stream_write_all(output, bytes.data(), bytes.size(),
                                     nullptr, stop_.get(), nullptr) != 0;
  }

  std::string head_;
  std::string block_;
  GObjectPtr<GSocketListener> listener_;
  GObjectPtr<GCancellable> stop_{g_cancellable_new()};
  guint16 port_ = 0;
  std::thread thread_;
};

constexpr const char* kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";

}  // namespace

// Endpoints in trouble sent bytes that belong to no body and never end. The
// calls stayed open until their deadline, and the headers were all kept.
TEST_GROUP_BASE(HttpClientEndless, TEST_GROUP_CppUTestGroupHttpClient){
    void CheckExcessive(const std::string& head, const std::string& piece){
        EndlessServer server(head, piece);
Call(server.url());
CHECK_TRUE(sink.excessive);
CHECK_TRUE(sink.sent);
}
}
;

TEST(HttpClientEndless, HeadersWithoutEndEndTheCall) {
  CheckExcessive("HTTP/1.1 200 OK\r\n", "X-More: x\r\n");
}

TEST(HttpClientEndless, HeaderLineWithoutEndEndsTheCall) {
  CheckExcessive("HTTP/1.1 200 OK\r\nX-Long: ", "x");
}

// libcurl would keep up to 100 KiB of an incomplete line until the deadline.
TEST(HttpClientEndless, LongHeaderLineThatStallsEndsTheCall) {
  const std::string line(80000, 'x');
  EndlessServer server("HTTP/1.1 200 OK\r\nX-Long: " + line, "");
  Call(server.url());
  CHECK_TRUE(sink.excessive);
}

TEST(HttpClientEndless, InformationalAnswersWithoutEndEndTheCall) {
  CheckExcessive("", "HTTP/1.1 103 Early Hints\r\nX-More: x\r\n\r\n");
}

TEST(HttpClientEndless, ChunkExtensionWithoutEndEndsTheCall) {
  CheckExcessive(std::string(kChunkedHead) + "5;", "x");
}

TEST(HttpClientEndless, LongExtensionsOfShortChunksEndTheCall) {
  CheckExcessive(kChunkedHead, "1;" + std::string(250, 'x') + "\r\nh\r\n");
}

TEST(HttpClientEndless, TrailersWithoutEndEndTheCall) {
  CheckExcessive(std::string(kChunkedHead) + "0\r\n", "X-More: x\r\n");
}

TEST(HttpClientEndless, TrailerLineWithoutEndEndsTheCall) {
  CheckExcessive(std::string(kChunkedHead) + "0\r\nX-Long: ", "x");
}

// Framing is larger than the content in a sound stream of short chunks.
TEST(HttpClientEndless, ManyShortChunksAreRelayed) {
  constexpr int kChunks = 100000;
  std::string response = kChunkedHead;
  for (int i = 0; i < kChunks; ++i) response += "1\r\nx\r\n";
  CannedServer server(response + "0\r\n\r\n");
  Call(server.url());
  STRCMP_EQUAL("", sink.error.c_str());
  LONGS_EQUAL(kChunks + 5, sink.body.size());
}

TEST(HttpClientEndless, PausedCallReceivesNothingUntilItIsResumed) {
  CannedServer server("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
                      std::string(1000000, 'x'));
  HttpClient client;
  const auto call = client.Start(
      {.method = "GET", .url = server.url(), .new_connection = true}, &sink);
  Run(5 * G_USEC_PER_SEC, [&] { return !sink.body.empty(); });
  client.Pause(call);
  const std::size_t before = sink.body.size();
  Run(G_USEC_PER_SEC / 10, [] { return false; });
  LONGS_EQUAL(before, sink.body.size());
  client.Resume(call);
  Run(5 * G_USEC_PER_SEC, [&] { return sink.done; });
  STRCMP_EQUAL("", sink.error.c_str());
  LONGS_EQUAL(1000000, sink.body.size());
}
