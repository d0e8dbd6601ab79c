#include "tools/fake_endpoint/fake_endpoint.h"

#include <fmt/format.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iterator>
#include <utility>

#include "core/log.h"
#include "tools/fake_endpoint/answer_text.h"

namespace cassiausher {
namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr guint kClientTimeoutSeconds = 10;
/// An endpoint must get no new work later than this after it announced its
/// departure.
constexpr std::int64_t kDepartureGraceUs = 2 * kMicrosPerSecond;
/// A departing process runs at least this long, so that new work after the
/// grace period is counted instead of failing as a refused connection.
constexpr std::int64_t kMinDepartureUs = 3 * kMicrosPerSecond;
/// How long a finished stream can be resumed.
constexpr std::int64_t kFinishedRetentionUs = 10 * kMicrosPerSecond;
/// Maximum number of requests waiting for a slot or for prefill; further ones
/// get status 503 `overloaded`.
constexpr std::size_t kMaxQueuedRequests = 1024;
/// Tokens generated per request and main loop iteration when step_ms is 0.
constexpr std::int64_t kTokensPerIteration = 64;
/// Generation pauses at this many unwritten bytes if the client doesn't read.
constexpr std::int64_t kMaxUnwrittenBytes = 256 * 1024;
constexpr std::size_t kMaxCachedPrefixes = 4096;
constexpr std::size_t kMinPrefixBytes = 1024;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaxRecordedOrders = 1000;

std::string GetHeader(SoupServerMessage* message, const char* name) {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), name);
  return value == nullptr ? std::string() : std::string(value);
}

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Executions are counted by idempotency key or, without one, by the caller's
// request id without the router's suffix, which starts with "~" and differs
// between attempts.
std::string ExecutionKey(const std::string& key,
                         const std::string& request_id) {
  if (!key.empty()) return key;
  const std::size_t suffix = request_id.find('~');
  if (suffix == std::string::npos || suffix == 0) return request_id;
  return request_id.substr(0, suffix);
}

std::int64_t GetInteger(const json& body, const char* name,
                        std::int64_t fallback) {
  const auto found = body.find(name);
  return found != body.end() && found->is_number_integer()
             ? found->get<std::int64_t>()
             : fallback;
}

std::string GetString(const json& body, const char* name) {
  const auto found = body.find(name);
  return found != body.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

bool GetBool(const json& body, const char* name) {
  const auto found = body.find(name);
  return found != body.end() && found->is_boolean() && found->get<bool>();
}

std::string ToJsonString(const std::string& text) { return json(text).dump(); }

}  // namespace

const char* RoleName(EndpointRole role) {
  switch (role) {
    case EndpointRole::kPrefill:
      return "prefill";
    case EndpointRole::kDecode:
      return "decode";
    case EndpointRole::kPlain:
      return "plain";
  }
  return "";
}

bool ParseRole(const std::string& name, EndpointRole* role) {
  for (const EndpointRole candidate :
       {EndpointRole::kPrefill, EndpointRole::kDecode, EndpointRole::kPlain}) {
    if (name != RoleName(candidate)) continue;
    *role = candidate;
    return true;
  }
  return false;
}

/// One request on this endpoint, from its arrival until it is released.
struct FakeEndpoint::Session {
  std::string id;
  std::string request_id;
  /// Idempotency key, or the request id when there is none.
  std::string execution_key;
  std::string quoted_request_id;
  QueueKey queue_key;
  Phase phase = Phase::kQueued;
  bool chat = false;
  bool stream = false;
  /// Prefill only: the KV cache is retained for export to a decode engine.
  bool for_remote_decode = false;
  bool holds_slot = false;
  bool released = false;

  std::uint32_t prompt_hash = 0;
  std::string prompt;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t kv_bytes = 0;
  json kv_transfer;
  GCancellable* import = nullptr;
  Timers::Id timer{};

  /// Token counts. `total` is the length of the whole answer; its first
  /// `tokens_delivered_before` tokens were delivered by another engine.
  /// Invariant: tokens_delivered_before <= sent <= produced <= total.
  std::int64_t total = 0;
  std::int64_t tokens_delivered_before = 0;
  std::int64_t produced = 0;
  std::int64_t sent = 0;
  bool finish_sent = false;
  bool execution_counted = false;
  bool limited_by_max_tokens = false;
  /// Chunk delayed by a fault; written after the next one.
  std::string late_chunk;
  std::shared_ptr<Reply> reply;
};

struct FakeEndpoint::Call {
  std::shared_ptr<Reply> reply;
  std::string method;
  std::string path;
  std::string body;
  std::string request_id;
  std::string key;
  std::string pool;
  std::string epoch;
  std::string last_event;
};

FakeEndpoint::FakeEndpoint(EndpointOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      context_(g_main_context_ref_thread_default()),
      timers_(context_) {
  client_ = soup_session_new_with_options("max-conns", 4096,
                                          "max-conns-per-host", 1024, nullptr);
  soup_session_set_proxy_resolver(client_, nullptr);
  soup_session_set_timeout(client_, kClientTimeoutSeconds);
  announcer_ = std::make_unique<Announcer>(options_, timers_, client_,
                                           [this] { return Load(); });
}

FakeEndpoint::~FakeEndpoint() {
  const auto sessions = sessions_;
  for (const auto& [id, session] : sessions) {
    if (session->reply) session->reply->set_on_closed(nullptr);
    Release(session);
  }
  announcer_->Stop();
  soup_session_abort(client_);
  if (server_ != nullptr) {
    soup_server_disconnect(server_);
    g_object_unref(server_);
  }
  // Runs the callbacks of cancelled requests, which refer to this object.
  constexpr int kMaxIterations = 100;
  for (int i = 0;
       i < kMaxIterations && g_main_context_iteration(context_, FALSE); ++i) {
  }
  g_object_unref(client_);
  g_main_context_unref(context_);
}

std::string FakeEndpoint::Start() {
  GError* error = nullptr;
  const auto failure = [&error](const char* step) {
    std::string text =
        fmt::format("{}: {}", step, error != nullptr ? error->message : "");
    g_clear_error(&error);
    return text;
  };
  // Creates the socket here, since libsoup's own has a short listen backlog.
  constexpr int kListenBacklog = 4096;
  GSocketAddress* address = g_inet_socket_address_new_from_string(
      options_.host.c_str(), options_.port);
  if (address == nullptr) return "listen: address is not a numeric IP address";
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, &error);
  if (socket == nullptr) {
    g_object_unref(address);
    return failure("socket");
  }
  g_socket_set_listen_backlog(socket, kListenBacklog);
  const bool bound = g_socket_bind(socket, address, TRUE, &error) &&
                     g_socket_listen(socket, &error);
  g_object_unref(address);
  if (!bound) {
    g_object_unref(socket);
    return failure("listen");
  }
  GSocketAddress* local = g_socket_get_local_address(socket, nullptr);
  port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local));
  g_object_unref(local);
  server_ = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(server_, nullptr, &FakeEndpoint::HandleCall, this,
                          nullptr);
  const bool listening = soup_server_listen_socket(
      server_, socket, static_cast<SoupServerListenOptions>(0), &error);
  g_object_unref(socket);
  if (!listening) return failure("listen");
  announcer_->Start(url());
  return {};
}

std::string FakeEndpoint::url() const {
  return fmt::format("http://{}:{}", options_.host, port_);
}

void FakeEndpoint::Depart(std::function<void()> done) {
  on_departed_ = std::move(done);
  if (departing_) return;
  departing_ = true;
  departing_since_us_ = Timers::Now();
  Log(LogLevel::kInfo, "departing", {{"sessions", sessions_.size()}});
  announcer_->set_departing();
  announcer_->AnnounceNow();
  CheckDeparted();
}

void FakeEndpoint::CheckDeparted() {
  constexpr std::int64_t kPollPeriodUs = 20 * kMicrosPerMilli;
  const bool idle = sessions_.empty() && plain_running_ == 0;
  const bool min_time_passed =
      options_.announce_urls.empty() ||
      Timers::Now() - departing_since_us_ >= kMinDepartureUs;
  if (!idle || !min_time_passed) {
    timers_.Schedule(Timers::Now() + kPollPeriodUs,
                     [this] { CheckDeparted(); });
    return;
  }
  if (on_departed_) on_departed_();
}

json FakeEndpoint::State() const {
  json executions = json::object();
  for (const auto& [key, count] : execution_counts_) executions[key] = count;
  return {{"name", options_.name},
          {"service", options_.service},
          {"role", RoleName(options_.role)},
          {"fencing", options_.honours_fencing ? "honour" : "ignore"},
          {"held_sessions", sessions_.size()},
          {"held_kv_bytes", held_kv_bytes_},
          {"running", slots_used_ + plain_running_ + (prefilling_ ? 1 : 0)},
          {"executions", std::move(executions)},
          {"orders", orders_},
          {"departing", departing_},
          {"new_work_since_departing", new_work_since_departing_},
          {"new_work_2s_after_departing", new_work_after_grace_},
          {"announcements_accepted", announcer_->accepted()}};
}

void FakeEndpoint::HandleCall(SoupServer* /*server*/,
                              SoupServerMessage* message, const char* path,
                              GHashTable* /*query*/, gpointer self) {
  const SoupMessageBody* body = soup_server_message_get_request_body(message);
  Call call{.reply = Reply::Create(message),
            .method = soup_server_message_get_method(message),
            .path = path,
            .body = std::string(body->data == nullptr ? "" : body->data,
                                static_cast<std::size_t>(body->length)),
            .request_id = GetHeader(message, "X-Request-Id"),
            .key = GetHeader(message, "Idempotency-Key"),
            .pool = GetHeader(message, "Cassiausher-Pool"),
            .epoch = GetHeader(message, "Cassiausher-Epoch"),
            .last_event = GetHeader(message, "Last-Event-ID")};
  static_cast<FakeEndpoint*>(self)->Dispatch(call);
}

void FakeEndpoint::Dispatch(const Call& call) {
  if (call.reply->silent()) return;
  const bool post = call.method == "POST";
  if (call.path == "/fake/state") return call.reply->Send(200, State().dump());
  if (call.path == "/fake/fault" && post) return OnFault(call);
  if (options_.role == EndpointRole::kPlain) return OnPlainCall(call);
  if (call.path == "/v1/completions" && post) return OnEngineCall(call, false);
  if (call.path == "/v1/chat/completions" && post) {
    return OnEngineCall(call, true);
  }
  if (call.path == "/kv/export" && post) return OnKvExport(call);
  if (call.path == "/cancel" && post) return OnCancel(call);
  if (call.path == "/sessions") return OnSessions(call);
  if (call.path == "/orders" && post) return OnOrder(call);
  call.reply->SendError(404, "not_found", "no such path: " + call.path);
}

bool FakeEndpoint::CheckEpoch(const std::string& pool, std::uint64_t epoch) {
  std::uint64_t& seen = highest_epochs_[pool];
  const bool stale = epoch < seen;
  seen = std::max(seen, epoch);
  return !stale || !options_.honours_fencing;
}

bool FakeEndpoint::RejectStaleEpoch(const Call& call) {
  if (call.epoch.empty()) return false;
  if (CheckEpoch(call.pool, ParseNumber(call.epoch))) return false;
  call.reply->SendError(409, "stale_epoch",
                        "the epoch is lower than one seen for the pool");
  return true;
}

void FakeEndpoint::CountNewWork() {
  if (!departing_) return;
  ++new_work_since_departing_;
  if (Timers::Now() - departing_since_us_ > kDepartureGraceUs)
    ++new_work_after_grace_;
}

void FakeEndpoint::OnEngineCall(const Call& call, bool chat) {
  const json body = json::parse(call.body, nullptr, false);
  if (!body.is_object()) {
    return call.reply->SendError(400, "invalid_body", "body is no JSON object");
  }
  if (RejectStaleEpoch(call)) return;
  if (!call.last_event.empty()) {
    if (Resume(call, call.request_id,
               static_cast<std::int64_t>(ParseNumber(call.last_event)))) {
      return;
    }
    return call.reply->SendError(404, "session_not_found",
                                 "no stream of this request is held");
  }
  CountNewWork();
  if (faults_.error_rate > 0 && random_.Chance(faults_.error_rate)) {
    return call.reply->SendError(500, "engine_error",
                                 "error caused by a fault");
  }
  if (slot_queue_.size() + prefill_queue_.size() >= kMaxQueuedRequests) {
    return call.reply->SendError(503, "overloaded", "the queue is full");
  }
  auto session = std::make_shared<Session>();
  session->id =
      fmt::format("{}-{}-{}", options_.name,
                  announcer_->incarnation() % 1'000'000, next_session_);
  session->request_id = call.request_id.empty() ? session->id : call.request_id;
  session->quoted_request_id = ToJsonString(session->request_id);
  session->execution_key = ExecutionKey(call.key, session->request_id);
  session->queue_key = {GetInteger(body, "priority", 0), next_session_++};
  session->chat = chat;
  session->stream = GetBool(body, "stream");
  session->prompt = ExtractPrompt(body);
  session->prompt_hash = TextHash(session->prompt);
  session->prompt_tokens = EstimateTokens(session->prompt);
  session->tokens_delivered_before = std::max<std::int64_t>(
      0, GetInteger(body, "cassiausher_resume_tokens", 0));
  const std::int64_t max_tokens = GetInteger(body, "max_tokens", 0);
  session->total =
      AnswerLength(session->prompt_hash, options_.output_tokens, max_tokens);
  session->limited_by_max_tokens = session->total == max_tokens;
  session->tokens_delivered_before =
      std::min(session->tokens_delivered_before, session->total);
  session->produced = session->sent = session->tokens_delivered_before;
  session->reply = call.reply;
  const auto transfer = body.find("kv_transfer_params");
  if (transfer != body.end() && transfer->is_object()) {
    session->for_remote_decode = GetBool(*transfer, "do_remote_decode");
    if (GetBool(*transfer, "do_remote_prefill"))
      session->kv_transfer = *transfer;
  }
  sessions_.emplace(session->id, session);
  sessions_by_request_id_.emplace(session->request_id, session);
  ReleaseOnDisconnect(session);
  if (session->for_remote_decode) return QueuePrefill(session);
  slot_queue_.emplace(session->queue_key, session);
  AssignSlots();
}

void FakeEndpoint::ReleaseOnDisconnect(const SessionPtr& session) {
  session->reply->set_on_closed([this, weak = std::weak_ptr<Session>(session)] {
    if (const SessionPtr lost = weak.lock()) Release(lost);
  });
}

bool FakeEndpoint::Resume(const Call& call, const std::string& request_id,
                          std::int64_t last_event) {
  SessionPtr session;
  const auto held = sessions_by_request_id_.find(request_id);
  if (held != sessions_by_request_id_.end()) session = held->second;
  if (!session) {
    const auto finished = finished_sessions_.find(request_id);
    if (finished != finished_sessions_.end()) session = finished->second;
  }
  if (!session || !session->stream || session->for_remote_decode) return false;
  if (last_event < session->tokens_delivered_before ||
      last_event > session->produced) {
    return false;
  }
  const std::shared_ptr<Reply> previous = session->reply;
  if (previous) {
    previous->set_on_closed(nullptr);
    previous->End();
  }
  session->reply = call.reply;
  session->sent = last_event;
  session->finish_sent = false;
  session->late_chunk.clear();
  if (!session->released) ReleaseOnDisconnect(session);
  call.reply->BeginStream();
  WriteTokens(*session);
  if (session->released) session->reply.reset();
  return true;
}

void FakeEndpoint::AssignSlots() {
  while (slots_used_ < options_.slots && !slot_queue_.empty()) {
    const SessionPtr session = slot_queue_.begin()->second;
    slot_queue_.erase(slot_queue_.begin());
    session->holds_slot = true;
    ++slots_used_;
    if (session->kv_transfer.is_object()) {
      StartImport(session);
    } else {
      QueuePrefill(session);
    }
  }
}

void FakeEndpoint::StartImport(const SessionPtr& session) {
  session->phase = Phase::kImporting;
  session->kv_bytes = GetInteger(session->kv_transfer, "kv_bytes", 0);
  held_kv_bytes_ += session->kv_bytes;
  const json& blocks = session->kv_transfer["remote_block_ids"];
  const std::string block =
      blocks.is_array() && !blocks.empty() && blocks[0].is_string()
          ? blocks[0].get<std::string>()
          : std::string();
  const std::string url = fmt::format(
      "http://{}:{}/kv/export", GetString(session->kv_transfer, "remote_host"),
      GetInteger(session->kv_transfer, "remote_port", 0));
  SoupMessage* message = soup_message_new("POST", url.c_str());
  if (message == nullptr) return OnImported(session, 0);
  // Without this flag libsoup opens a new connection for each POST.
  soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  const std::string body = json({{"session", block}}).dump();
  GBytes* bytes = g_bytes_new(body.data(), body.size());
  soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  g_bytes_unref(bytes);
  session->import = g_cancellable_new();
  struct Import {
    FakeEndpoint* self;
    SessionPtr session;
  };
  soup_session_send_and_read_async(
      client_, message, G_PRIORITY_DEFAULT, session->import,
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<Import> import(static_cast<Import*>(data));
        SoupSession* client = SOUP_SESSION(source);
        SoupMessage* request =
            soup_session_get_async_result_message(client, result);
        GBytes* answer =
            soup_session_send_and_read_finish(client, result, nullptr);
        unsigned status = 0;
        if (answer != nullptr) {
          status = soup_message_get_status(request);
          const json export_answer = json::parse(
              static_cast<const char*>(g_bytes_get_data(answer, nullptr)),
              static_cast<const char*>(g_bytes_get_data(answer, nullptr)) +
                  g_bytes_get_size(answer),
              nullptr, false);
          // The text is generated from the imported KV cache, so that
          // tools/load/checker reports text from the cache of another prompt
          // as other_request or mixed.
          if (status == 200 && export_answer.is_object()) {
            import->session->prompt_hash = static_cast<std::uint32_t>(
                GetInteger(export_answer, "prompt_hash", 0));
          }
          g_bytes_unref(answer);
        }
        if (!import->session->released) {
          import->self->OnImported(import->session, status);
        }
      },
      new Import{this, session});
  g_object_unref(message);
}

void FakeEndpoint::OnImported(const SessionPtr& session, unsigned status) {
  if (status == 200) return StartDecode(session);
  session->reply->SendError(409, "kv_not_found",
                            fmt::format("import failed, status {}", status));
  Release(session);
}

void FakeEndpoint::QueuePrefill(const SessionPtr& session) {
  prefill_queue_.emplace(session->queue_key, session);
  StartNextPrefill();
}

void FakeEndpoint::StartNextPrefill() {
  while (!prefilling_ && !prefill_queue_.empty()) {
    const SessionPtr session = prefill_queue_.begin()->second;
    prefill_queue_.erase(prefill_queue_.begin());
    BeginPrefill(session);
    const std::int64_t now = Timers::Now();
    // A prefill whose end has already passed completes without a timer.
    if (prefill_free_at_us_ <= now && faults_.stall_until_us <= now) {
      OnPrefilled(session);
      continue;
    }
    session->timer = timers_.Schedule(prefill_free_at_us_, [this, session] {
      AfterStall([this, session] {
        if (session->released) return;
        OnPrefilled(session);
        StartNextPrefill();
      });
    });
  }
}

void FakeEndpoint::BeginPrefill(const SessionPtr& session) {
  prefilling_ = session;
  session->phase = Phase::kPrefill;
  session->kv_bytes = session->prompt_tokens * options_.kv_bytes_per_token;
  held_kv_bytes_ += session->kv_bytes;
  session->cached_tokens = LookUpAndCachePrefixes(session->prompt);
  session->prompt.clear();
  session->prompt.shrink_to_fit();
  const double seconds =
      static_cast<double>(session->prompt_tokens - session->cached_tokens) /
      options_.prefill_tokens_per_second;
  // The next prefill starts at the end of the previous one, not when its timer
  // ran, so that timer delays don't lower the rate.
  constexpr std::int64_t kTimerSlackUs = 2000;
  const std::int64_t now = Timers::Now();
  if (now - prefill_free_at_us_ > kTimerSlackUs) prefill_free_at_us_ = now;
  prefill_free_at_us_ += static_cast<std::int64_t>(seconds * kMicrosPerSecond);
}

void FakeEndpoint::OnPrefilled(const SessionPtr& session) {
  prefilling_.reset();
  if (session->for_remote_decode) {
    Retain(session);
  } else {
    StartDecode(session);
  }
}

void FakeEndpoint::Retain(const SessionPtr& session) {
  session->phase = Phase::kRetained;
  session->reply->set_on_closed(nullptr);
  session->timer =
      timers_.Schedule(Timers::Now() + options_.retention_ms * kMicrosPerMilli,
                       [this, session] { Release(session); });
  const json answer = {
      {"id", session->request_id},
      {"object", session->chat ? "chat.completion" : "text_completion"},
      {"model", options_.service},
      {"choices", json::array()},
      {"usage",
       {{"prompt_tokens", session->prompt_tokens},
        {"completion_tokens", 1},
        {"total_tokens", session->prompt_tokens + 1},
        {"prompt_tokens_details",
         {{"cached_tokens", session->cached_tokens}}}}},
      {"kv_transfer_params",
       {{"do_remote_prefill", true},
        {"do_remote_decode", false},
        {"remote_engine_id", options_.name},
        {"remote_block_ids", {session->id}},
        {"remote_host", options_.host},
        {"remote_port", port_},
        {"kv_bytes", session->kv_bytes}}}};
  session->reply->Send(200, answer.dump());
  session->reply.reset();
}

std::int64_t FakeEndpoint::LookUpAndCachePrefixes(std::string_view prompt) {
  std::int64_t cached = 0;
  for (std::size_t length = kMinPrefixBytes; length <= prompt.size();
       length *= 2) {
    const std::uint64_t hash = XXH3_64bits(prompt.data(), length);
    if (!cached_prefixes_.insert(hash).second) {
      cached = static_cast<std::int64_t>(length / kBytesPerToken);
      continue;
    }
    prefix_insertion_order_.push_back(hash);
    announcer_->AddCacheEvent(true, hash);
  }
  while (prefix_insertion_order_.size() > kMaxCachedPrefixes) {
    cached_prefixes_.erase(prefix_insertion_order_.front());
    announcer_->AddCacheEvent(false, prefix_insertion_order_.front());
    prefix_insertion_order_.pop_front();
  }
  return cached;
}

void FakeEndpoint::OnKvExport(const Call& call) {
  const json body = json::parse(call.body, nullptr, false);
  const std::string id = body.is_object() ? GetString(body, "session") : "";
  const auto found = sessions_.find(id);
  if (found == sessions_.end() || found->second->phase != Phase::kRetained) {
    return call.reply->SendError(404, "kv_not_found",
                                 "the KV cache is unknown or has expired");
  }
  const SessionPtr session = found->second;
  timers_.Cancel(session->timer);
  session->phase = Phase::kExporting;
  session->reply = call.reply;
  ReleaseOnDisconnect(session);
  const double seconds =
      static_cast<double>(session->kv_bytes) / options_.link_bytes_per_second;
  link_free_at_us_ = std::max(link_free_at_us_, Timers::Now()) +
                     static_cast<std::int64_t>(seconds * kMicrosPerSecond);
  session->timer = timers_.Schedule(link_free_at_us_, [this, session] {
    AfterStall([this, session] {
      if (session->released) return;
      const json answer = {{"kv_bytes", session->kv_bytes},
                           {"prompt_hash", session->prompt_hash}};
      session->reply->Send(200, answer.dump());
      Release(session);
    });
  });
}

void FakeEndpoint::StartDecode(const SessionPtr& session) {
  session->phase = Phase::kDecode;
  if (session->stream) session->reply->BeginStream();
  decoding_.push_back(session);
  ScheduleStep();
  if (faults_.stall_until_us <= Timers::Now()) Generate(session, 1);
}

void FakeEndpoint::ScheduleStep() {
  if (step_scheduled_ || decoding_.empty()) return;
  step_scheduled_ = true;
  const std::int64_t now = Timers::Now();
  next_step_at_us_ = std::max(now + options_.step_ms * kMicrosPerMilli,
                              faults_.stall_until_us);
  timers_.Schedule(next_step_at_us_, [this] { Step(); });
}

void FakeEndpoint::Step() {
  step_scheduled_ = false;
  const std::int64_t now = Timers::Now();
  if (now < faults_.stall_until_us) return ScheduleStep();
  const std::int64_t step_us = options_.step_ms * kMicrosPerMilli;
  // A late timer also runs the steps that it missed.
  const std::int64_t count = step_us == 0
                                 ? kTokensPerIteration
                                 : 1 + (now - next_step_at_us_) / step_us;
  const std::vector<SessionPtr> batch = decoding_;
  for (const SessionPtr& session : batch) {
    if (!session->released) Generate(session, count);
  }
  if (step_scheduled_ || decoding_.empty()) return;
  step_scheduled_ = true;
  next_step_at_us_ += step_us == 0 ? now - next_step_at_us_ : count * step_us;
  timers_.Schedule(next_step_at_us_, [this] { Step(); });
}

void FakeEndpoint::Generate(const SessionPtr& session, std::int64_t count) {
  if (session->reply->unwritten_bytes() > kMaxUnwrittenBytes) return;
  if (!session->execution_counted) {
    session->execution_counted = true;
    ++execution_counts_[session->execution_key];
  }
  session->produced = std::min(session->produced + count, session->total);
  if (session->stream) WriteTokens(*session);
  if (session->produced == session->total) Finish(session);
}

void FakeEndpoint::WriteTokens(Session& session) {
  std::string out;
  const auto emit = [&](std::string chunk) {
    if (faults_.late_rate > 0 && session.late_chunk.empty() &&
        random_.Chance(faults_.late_rate)) {
      session.late_chunk = std::move(chunk);
      return;
    }
    out += chunk;
    if (faults_.repeat_rate > 0 && random_.Chance(faults_.repeat_rate)) {
      out += chunk;
    }
    out += session.late_chunk;
    session.late_chunk.clear();
  };
  const bool slow_path = faults_.late_rate > 0 || faults_.repeat_rate > 0 ||
                         !session.late_chunk.empty() ||
                         faults_.die_after_tokens >= 0;
  // On a silent connection the tokens stay unsent, so that a resumed stream
  // delivers them.
  if (session.reply->silent()) return;
  while (session.sent < session.produced) {
    ++session.sent;
    if (!slow_path) {
      AppendChunk(session, session.sent, &out);
      continue;
    }
    std::string chunk;
    AppendChunk(session, session.sent, &chunk);
    emit(std::move(chunk));
    if (faults_.die_after_tokens >= 0 && faults_.die_after_tokens-- == 0) {
      Log(LogLevel::kWarning, "exit_by_fault");
      _exit(EXIT_FAILURE);
    }
  }
  if (session.sent == session.total && !session.finish_sent) {
    session.finish_sent = true;
    if (session.tokens_delivered_before == session.total) {
      AppendChunk(session, session.total + 1, &out);
    }
    out += session.late_chunk;
    session.late_chunk.clear();
    out += "data: [DONE]\n\n";
  }
  session.reply->Write(std::move(out));
  if (session.finish_sent) session.reply->End();
}

void FakeEndpoint::AppendChunk(const Session& session, std::int64_t n,
                               std::string* out) {
  const auto sink = std::back_inserter(*out);
  fmt::format_to(sink, R"(id: {}
data: {{"id":{},"object":"{}","choices":[{{"index":0,)",
                 n, session.quoted_request_id,
                 session.chat ? "chat.completion.chunk" : "text_completion");
  *out += session.chat ? R"("delta":{"content":")" : R"("text":")";
  if (n <= session.total) {
    AppendToken(session.prompt_hash, n, session.total, out);
  }
  *out += session.chat ? R"("},)" : R"(",)";
  if (n < session.total) {
    *out += "\"finish_reason\":null}]}\n\n";
    return;
  }
  fmt::format_to(sink,
                 R"("finish_reason":"{}"}}],"usage":{{"prompt_tokens":{},)"
                 R"("completion_tokens":{},"total_tokens":{}}}}}

)",
                 session.limited_by_max_tokens ? "length" : "stop",
                 session.prompt_tokens, session.total,
                 session.prompt_tokens + session.total);
}

void FakeEndpoint::Finish(const SessionPtr& session) {
  if (!session->stream) {
    std::string text;
    for (std::int64_t n = session->tokens_delivered_before + 1;
         n <= session->total; ++n) {
      AppendToken(session->prompt_hash, n, session->total, &text);
    }
    json choice = {
        {"index", 0},
        {"finish_reason", session->limited_by_max_tokens ? "length" : "stop"}};
    if (session->chat) {
      choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
      choice["text"] = text;
    }
    const json answer = {
        {"id", session->request_id},
        {"object", session->chat ? "chat.completion" : "text_completion"},
        {"model", options_.service},
        {"choices", {choice}},
        {"usage",
         {{"prompt_tokens", session->prompt_tokens},
          {"completion_tokens", session->total},
          {"total_tokens", session->prompt_tokens + session->total},
          {"prompt_tokens_details",
           {{"cached_tokens", session->cached_tokens}}}}}};
    session->reply->Send(200, answer.dump());
  }
  session->reply->set_on_closed(nullptr);
  session->reply.reset();
  Release(session);
  if (!session->stream) return;
  finished_sessions_[session->request_id] = session;
  timers_.Schedule(Timers::Now() + kFinishedRetentionUs, [this, session] {
    const auto found = finished_sessions_.find(session->request_id);
    if (found != finished_sessions_.end() && found->second == session) {
      finished_sessions_.erase(found);
    }
  });
}

void FakeEndpoint::Release(const SessionPtr& session) {
  if (session->released) return;
  session->released = true;
  timers_.Cancel(session->timer);
  if (session->import != nullptr) {
    g_cancellable_cancel(session->import);
    g_clear_object(&session->import);
  }
  sessions_.erase(session->id);
  const auto [first, last] =
      sessions_by_request_id_.equal_range(session->request_id);
  for (auto it = first; it != last; ++it) {
    if (it->second != session) continue;
    sessions_by_request_id_.erase(it);
    break;
  }
  slot_queue_.erase(session->queue_key);
  prefill_queue_.erase(session->queue_key);
  std::erase(decoding_, session);
  held_kv_bytes_ -= session->kv_bytes;
  if (prefilling_ == session) {
    prefilling_.reset();
    prefill_free_at_us_ = std::min(prefill_free_at_us_, Timers::Now());
  }
  if (session->holds_slot) --slots_used_;
  // Deferred, since a caller of Release may be iterating over the queues.
  timers_.Schedule(Timers::Now(), [this] {
    StartNextPrefill();
    AssignSlots();
  });
}

void FakeEndpoint::AfterStall(std::function<void()> action) {
  if (Timers::Now() >= faults_.stall_until_us) return action();
  timers_.Schedule(faults_.stall_until_us,
                   [this, action = std::move(action)] { AfterStall(action); });
}

void FakeEndpoint::OnCancel(const Call& call) {
  const json body = json::parse(call.body, nullptr, false);
  const std::string request_id =
      body.is_object() ? GetString(body, "request_id") : "";
  if (faults_.refuse_cancels) {
    return call.reply->SendError(500, "cancel_refused",
                                 "cancels are refused by a fault");
  }
  std::vector<SessionPtr> held;
  const auto [first, last] = sessions_by_request_id_.equal_range(request_id);
  for (auto it = first; it != last; ++it) held.push_back(it->second);
  if (held.empty()) {
    return call.reply->SendError(404, "session_not_found", "nothing is held");
  }
  std::int64_t released = 0;
  for (const SessionPtr& session : held) {
    released += session->kv_bytes;
    if (session->reply) {
      session->reply->set_on_closed(nullptr);
      if (session->stream && session->phase == Phase::kDecode) {
        session->reply->End();
      } else {
        session->reply->SendError(499, "cancelled", "cancelled on request");
      }
    }
    Release(session);
  }
  call.reply->Send(200, json({{"released_bytes", released}}).dump());
}

void FakeEndpoint::OnSessions(const Call& call) {
  json list = json::array();
  for (const auto& [id, session] : sessions_) {
    const char* state = "prefill";
    switch (session->phase) {
      case Phase::kQueued:
        state = session->kv_transfer.is_object() ? "importing" : "prefill";
        break;
      case Phase::kPrefill:
        break;
      case Phase::kRetained:
      case Phase::kExporting:
        state = "retained";
        break;
      case Phase::kImporting:
        state = "importing";
        break;
      case Phase::kDecode:
        state = "decode";
        break;
    }
    list.push_back({{"request_id", session->request_id},
                    {"kv_bytes", session->kv_bytes},
                    {"state", state}});
  }
  call.reply->Send(200, json({{"sessions", std::move(list)}}).dump());
}

void FakeEndpoint::OnOrder(const Call& call) {
  const json body = json::parse(call.body, nullptr, false);
  const std::string order = body.is_object() ? GetString(body, "order") : "";
  const bool known = order == "load_model" || order == "load_adapter" ||
                     order == "load_version" || order == "set_role" ||
                     order == "evict_prefixes";
  if (!known) {
    return call.reply->SendError(400, "invalid_order", "unknown order");
  }
  const std::string pool =
      call.pool.empty() ? GetString(body, "pool") : call.pool;
  const bool accepted = CheckEpoch(
      pool, static_cast<std::uint64_t>(GetInteger(body, "epoch", 0)));
  json record = body;
  record["accepted"] = accepted;
  orders_.push_back(std::move(record));
  if (orders_.size() > kMaxRecordedOrders) orders_.erase(orders_.begin());
  if (!accepted) {
    return call.reply->SendError(409, "stale_epoch",
                                 "the epoch is lower than one seen");
  }
  if (order == "set_role") ParseRole(GetString(body, "role"), &options_.role);
  if (order == "load_model" && !GetString(body, "model").empty()) {
    announcer_->AddModel(GetString(body, "model"));
  }
  if (order == "evict_prefixes") {
    for (const std::uint64_t hash : prefix_insertion_order_)
      announcer_->AddCacheEvent(false, hash);
    prefix_insertion_order_.clear();
    cached_prefixes_.clear();
  }
  call.reply->Send(200, json({{"accepted", true}}).dump());
  announcer_->AnnounceNow();
}

void FakeEndpoint::OnFault(const Call& call) {
  const json body = json::parse(call.body, nullptr, false);
  if (!body.is_object()) {
    return call.reply->SendError(400, "invalid_body", "body is no JSON object");
  }
  FaultChange change{.faults = faults_};
  const std::string invalid_fields = ParseFaults(body, Timers::Now(), &change);
  if (!invalid_fields.empty()) {
    return call.reply->SendError(400, "invalid_fault",
                                 "unknown or out of range: " + invalid_fields);
  }
  faults_ = change.faults;
  options_.honours_fencing =
      change.honours_fencing.value_or(options_.honours_fencing);
  call.reply->Send(200, body.dump());
  if (change.silence) {
    // Delayed until the answer is written, since its connection becomes silent
    // too.
    constexpr std::int64_t kSilenceDelayUs = 5 * kMicrosPerMilli;
    timers_.Schedule(Timers::Now() + kSilenceDelayUs,
                     [] { Reply::SilenceOpenConnections(); });
  }
  if (change.depart) Depart(nullptr);
}

void FakeEndpoint::OnPlainCall(const Call& call) {
  if (RejectStaleEpoch(call)) return;
  CountNewWork();
  if (faults_.error_rate > 0 && random_.Chance(faults_.error_rate)) {
    return call.reply->SendError(500, "service_error",
                                 "error caused by a fault");
  }
  const std::int64_t execution =
      ++execution_counts_[ExecutionKey(call.key, call.request_id)];
  ++plain_running_;
  const std::string answer =
      json({{"service", options_.service},
            {"method", call.method},
            {"path", call.path},
            {"body_hash", fmt::format("{:08x}", TextHash(call.body))},
            {"execution", execution}})
          .dump();
  const auto finish = [this, reply = call.reply, answer] {
    AfterStall([this, reply, answer] {
      --plain_running_;
      reply->Send(200, answer);
    });
  };
  if (options_.step_ms == 0) return finish();
  timers_.Schedule(Timers::Now() + options_.step_ms * kMicrosPerMilli, finish);
}

EndpointLoad FakeEndpoint::Load() const {
  EndpointLoad load{
      .running = slots_used_ + plain_running_ + (prefilling_ ? 1 : 0),
      .waiting =
          static_cast<std::int64_t>(slot_queue_.size() + prefill_queue_.size()),
      .kv_bytes = held_kv_bytes_};
  for (const auto& [key, session] : prefill_queue_) {
    load.queued_prompt_tokens += session->prompt_tokens;
  }
  if (prefilling_) load.queued_prompt_tokens += prefilling_->prompt_tokens;
  return load;
}

}  // namespace cassiausher
