#include "tools/fake_endpoint/announcer.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace cassiausher {
namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kAnnouncePeriodUs = kMicrosPerSecond;
constexpr std::int64_t kLoadSamplePeriodUs = 50 * kMicrosPerMilli;
constexpr std::int64_t kCacheEventDelayUs = 200 * kMicrosPerMilli;
constexpr double kCacheEventLossRate = 0.02;
constexpr std::size_t kMaxEventsPerAnnouncement = 512;
constexpr std::size_t kMaxPendingCacheEvents = 4096;

}  // namespace

Announcer::Announcer(const EndpointOptions& options, Timers& timers,
                     SoupSession* client,
                     std::function<EndpointLoad()> get_load)
    : options_(options),
      timers_(timers),
      client_(client),
      cancellable_(g_cancellable_new()),
      get_load_(std::move(get_load)),
      random_(options.seed),
      models_({options.service}),
      incarnation_(static_cast<std::uint64_t>(g_get_real_time())) {}

Announcer::~Announcer() { g_object_unref(cancellable_); }

void Announcer::Stop() { g_cancellable_cancel(cancellable_); }

void Announcer::Start(std::string url) {
  url_ = std::move(url);
  TakeLoadSample();
  AnnounceEverySecond();
}

void Announcer::AddCacheEvent(bool stored, std::uint64_t prefix_hash) {
  ++cache_sequence_;
  if (random_.Chance(kCacheEventLossRate)) return;
  cache_events_.push_back(
      {.sequence = cache_sequence_,
       .stored = stored,
       .prefix_hash = prefix_hash,
       .visible_at_us = Timers::Now() + kCacheEventDelayUs});
  if (cache_events_.size() > kMaxPendingCacheEvents) cache_events_.pop_front();
}

void Announcer::TakeLoadSample() {
  load_samples_.push_back({Timers::Now(), get_load_()});
  const std::int64_t oldest =
      Timers::Now() - options_.load_lag_ms * kMicrosPerMilli;
  // Keeps one sample that is at least load_lag_ms old.
  while (load_samples_.size() > 1 && load_samples_[1].at_us <= oldest) {
    load_samples_.pop_front();
  }
  timers_.Schedule(Timers::Now() + kLoadSamplePeriodUs,
                   [this] { TakeLoadSample(); });
}

json Announcer::BuildAnnouncement() {
  const std::int64_t now = Timers::Now();
  const auto& [at_us, load] = load_samples_.front();
  json events = json::array();
  while (!cache_events_.empty() && cache_events_.front().visible_at_us <= now &&
         events.size() < kMaxEventsPerAnnouncement) {
    const CacheEvent& event = cache_events_.front();
    events.push_back({{"sequence", event.sequence},
                      {"kind", event.stored ? "stored" : "removed"},
                      {"prefix_hash", event.prefix_hash}});
    cache_events_.pop_front();
  }
  // Enough KV cache per slot for the longest prompts of the reference
  // workloads.
  constexpr std::int64_t kTokensPerSlot = 32'768;
  return {{"name", options_.name},
          {"data_centre", options_.data_centre},
          {"service", options_.service},
          {"role", RoleName(options_.role)},
          {"url", url_},
          {"models", models_},
          {"slots", options_.slots},
          {"kv_capacity_bytes",
           options_.slots * kTokensPerSlot * options_.kv_bytes_per_token},
          {"prefill_tokens_per_second", options_.prefill_tokens_per_second},
          {"kv_bytes_per_token", options_.kv_bytes_per_token},
          {"fencing", options_.honours_fencing},
          {"incarnation", incarnation_},
          {"departing", departing_},
          {"load",
           {{"sequence", ++sequence_},
            {"age_ms", (now - at_us) / kMicrosPerMilli},
            {"running", load.running},
            {"waiting", load.waiting},
            {"queued_prompt_tokens", load.queued_prompt_tokens},
            {"kv_bytes", load.kv_bytes}}},
          {"cache_events", std::move(events)}};
}

void Announcer::AnnounceEverySecond() {
  Announce(0);
  timers_.Schedule(Timers::Now() + kAnnouncePeriodUs,
                   [this] { AnnounceEverySecond(); });
}

void Announcer::Announce(std::size_t attempt) {
  const std::vector<std::string>& urls = options_.announce_urls;
  if (urls.empty() || attempt >= urls.size()) return;
  const std::size_t index = (preferred_url_index_ + attempt) % urls.size();
  SoupMessage* message =
      soup_message_new("POST", (urls[index] + "/announce").c_str());
  if (message == nullptr) return Announce(attempt + 1);
  soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  if (!options_.announce_token_file.empty()) {
    // Read for each announcement, so that a rotated token takes effect without
    // a restart.
    char* content = nullptr;
    if (g_file_get_contents(options_.announce_token_file.c_str(), &content,
                            nullptr, nullptr)) {
      soup_message_headers_replace(
          soup_message_get_request_headers(message), "Authorization",
          fmt::format("Bearer {}", g_strstrip(content)).c_str());
      g_free(content);
    }
  }
  const std::string body = BuildAnnouncement().dump();
  GBytes* bytes = g_bytes_new(body.data(), body.size());
  soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  g_bytes_unref(bytes);
  struct Attempt {
    Announcer* self;
    std::size_t attempt;
    std::size_t index;
  };
  soup_session_send_and_read_async(
      client_, message, G_PRIORITY_DEFAULT, cancellable_,
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<Attempt> sent(static_cast<Attempt*>(data));
        SoupSession* client = SOUP_SESSION(source);
        SoupMessage* request =
            soup_session_get_async_result_message(client, result);
        GError* error = nullptr;
        GBytes* answer =
            soup_session_send_and_read_finish(client, result, &error);
        const bool cancelled =
            g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED);
        g_clear_error(&error);
        const bool accepted =
            answer != nullptr && soup_message_get_status(request) == 200;
        if (answer != nullptr) g_bytes_unref(answer);
        // After a cancellation the announcer may have been deleted.
        if (cancelled) return;
        Announcer* self = sent->self;
        if (accepted) {
          self->preferred_url_index_ = sent->index;
          ++self->accepted_;
          return;
        }
        self->Announce(sent->attempt + 1);
      },
      new Attempt{this, attempt, index});
  g_object_unref(message);
}

}  // namespace cassiausher
