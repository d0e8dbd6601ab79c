// Checks the requests, output and exit codes of cassiausherctl against a fake
// admin server on loopback.
#include <libsoup/soup.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <thread>

#include "drivers/gobject_ptr.h"
#include "tools/ctl/command.h"

// CppUTest last: its macros clash with the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

/// Answers each method and path with a fixed status and body, on its own
/// thread.
class FakeAdminServer {
 public:
  FakeAdminServer() : context_(g_main_context_new()) {
    g_main_context_push_thread_default(context_);
    server_.reset(soup_server_new(nullptr, nullptr));
    soup_server_add_handler(server_.get(), nullptr, Handle, this, nullptr);
    soup_server_listen_local(server_.get(), 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                             nullptr);
    GSList* uris = soup_server_get_uris(server_.get());
    char* text = g_uri_to_string(static_cast<GUri*>(uris->data));
    url = text;
    g_free(text);
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    g_main_context_pop_thread_default(context_);
    loop_ = g_main_loop_new(context_, FALSE);
    thread_ = std::thread([this] {
      g_main_context_push_thread_default(context_);
      g_main_loop_run(loop_);
      g_main_context_pop_thread_default(context_);
    });
  }

  ~FakeAdminServer() {
    // Quits from inside the loop, since a quit before the loop runs has no
    // effect.
    g_main_context_invoke(
        context_,
        [](gpointer loop) {
          g_main_loop_quit(static_cast<GMainLoop*>(loop));
          return G_SOURCE_REMOVE;
        },
        loop_);
    thread_.join();
    soup_server_disconnect(server_.get());
    server_.reset();
    g_main_loop_unref(loop_);
    g_main_context_unref(context_);
  }

  std::string url;
  /// Status and body by "METHOD path"; set before the requests.
  std::map<std::string, std::pair<int, std::string>> answers;
  std::string last_body;
  std::string last_token;

 private:
  static void Handle(SoupServer*, SoupServerMessage* message, const char* path,
                     GHashTable*, gpointer self) {
    auto* fake = static_cast<FakeAdminServer*>(self);
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    fake->last_body.assign(body->data == nullptr ? "" : body->data,
                           static_cast<std::size_t>(body->length));
    const char* token = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Authorization");
    fake->last_token = token == nullptr ? "" : token;
    const std::string call =
        std::string(soup_server_message_get_method(message)) + " " + path;
    const auto [status, text] = fake->answers[call];
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, text.data(),
                                     text.size());
  }

  GMainContext* context_;
  GObjectPtr<SoupServer> server_;
  GMainLoop* loop_ = nullptr;
  std::thread thread_;
};

struct Output {
  int code = 0;
  std::string out;
  std::string err;
};

Output Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCommand(arguments, "secret", out, err);
  return {code, out.str(), err.str()};
}

constexpr const char* kQuery = "POST /admin/v1/query";
constexpr const char* kChange = "POST /admin/v1/change";

}  // namespace

TEST_GROUP(Ctl){};

// Guards against misaligned columns, raw control characters, and columns or
// names of unanswered data centres that are missing from the table.
TEST(Ctl, QueryPrintsRowsAsAlignedTable) {
  FakeAdminServer server;
  server.answers[kQuery] = {
      200,
      R"({"revision":3,"rows":[{"id":"กa","late_ms":250.5,"stage":"decode"},)"
      R"({"id":"b\u001b","late_ms":1,"extra":true}],"unanswered":["west"]})"};
  const auto output =
      Run({"--at", server.url, "show", "requests", "where late > 0ms"});
  LONGS_EQUAL(kExitDone, output.code);
  STRCMP_EQUAL(
      "id  stage   late_ms  extra\n"
      "กa  decode    250.5  -\n"
      "b   -             1  true\n"
      "unanswered: west\n",
      output.out.c_str());
  STRCMP_EQUAL(R"({"text":"show requests where late > 0ms"})",
               server.last_body.c_str());
  STRCMP_EQUAL("Bearer secret", server.last_token.c_str());
}

// Guards against a JSON output that differs from the response, which programs
// parse.
TEST(Ctl, JsonFormatPrintsResponseBody) {
  FakeAdminServer server;
  server.answers[kQuery] = {200, R"({"revision":3,"rows":[]})"};
  const auto output =
      Run({"--at", server.url, "--format", "json", "show requests"});
  LONGS_EQUAL(kExitDone, output.code);
  STRCMP_EQUAL("{\"revision\":3,\"rows\":[]}\n", output.out.c_str());
}

// Guards against an exit code of 0 for a refused change, after which a script
// would go on as if the change had been made.
TEST(Ctl, RefusedChangeExitsWithOneAndPrintsReason) {
  FakeAdminServer server;
  const char* change = "change id \"c-1\" { drain endpoint \"r3\" }";
  server.answers[kChange] = {
      200, R"({"accepted":false,"revision":4,"in_force":false,"findings":)"
           R"([{"place":"data centre west","message":"no live instance"}]})"};
  for (const char* format : {"table", "json"}) {
    const auto output = Run({"--at", server.url, "--format", format, change});
    LONGS_EQUAL(kExitRefused, output.code);
    STRCMP_EQUAL("data centre west: no live instance\n", output.err.c_str());
  }
  server.answers[kChange] = {
      200, R"({"accepted":true,"revision":5,"in_force":true,"findings":[]})"};
  const auto accepted = Run({"--at", server.url, change});
  LONGS_EQUAL(kExitDone, accepted.code);
  STRCMP_EQUAL("accepted, in force, revision 5\n", accepted.out.c_str());
  for (const char* body :
       {R"({"error":{"message":"no quorum"}})", "<html>", ""}) {
    server.answers[kChange] = {503, body};
    LONGS_EQUAL(kExitRefused, Run({"--at", server.url, change}).code);
  }
  server.answers[kChange] = {200, "[1]"};
  LONGS_EQUAL(kExitRefused, Run({"--at", server.url, change}).code);
}

// Guards against sending a statement with a syntax error, and against other
// exit codes for wrong arguments.
TEST(Ctl, SyntaxAndUsageErrorsExitWithTwoWithoutRequest) {
  FakeAdminServer server;
  const auto syntax = Run({"--at", server.url, "show", "colours"});
  LONGS_EQUAL(kExitUsage, syntax.code);
  CHECK(syntax.err.starts_with("line 1 column 6: unknown table"));
  STRCMP_EQUAL("", server.last_token.c_str());
  LONGS_EQUAL(kExitUsage, Run({"show requests"}).code);
  LONGS_EQUAL(kExitUsage, Run({}).code);
  LONGS_EQUAL(kExitUsage,
              Run({"--at", "x", "--format", "xml", "show requests"}).code);
  LONGS_EQUAL(
      kExitUsage,
      Run({"--at", "x", "--token-file", "/nowhere", "show requests"}).code);
}

// Guards against reporting a connection failure or an invalid URL as a refusal.
TEST(Ctl, UnreachableInstanceExitsWithThree) {
  std::string url;
  {
    FakeAdminServer server;
    url = server.url;
  }
  const auto output = Run({"--at", url, "state"});
  LONGS_EQUAL(kExitUnreachable, output.code);
  CHECK(output.err.starts_with("not reachable: "));
  LONGS_EQUAL(kExitUnreachable, Run({"--at", "nonsense", "state"}).code);
}

// Guards against empty or wrong output of the commands that take no statement.
TEST(Ctl, StateHelpVersionAndCompletionPrintTheirText) {
  FakeAdminServer server;
  server.answers["GET /admin/v1/state"] = {200, R"({"a":1})"};
  STRCMP_EQUAL("{\n  \"a\": 1\n}\n",
               Run({"--at", server.url, "state"}).out.c_str());
  STRCMP_EQUAL("undrain\n", Run({"complete", "und"}).out.c_str());
  CHECK(Run({"help", "requests"}).out.find("late") != std::string::npos);
  CHECK(Run({"help"}).out.find("show") != std::string::npos);
  CHECK(Run({"--help"}).out.find("Usage:") != std::string::npos);
  CHECK(Run({"--version"}).out.starts_with("cassiausherctl "));
}
