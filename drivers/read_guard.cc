#include "drivers/read_guard.h"

#include <gio/gio.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "drivers/clock.h"
#include "drivers/task.h"

namespace cassiausher {
namespace {

constexpr Duration kPollPeriod = Milliseconds(100);
// Limit of a request's bytes that aren't body. A chunk of one byte takes five
// of them.
constexpr std::int64_t kMaxFramingBytes = 128 << 10;
constexpr std::int64_t kMaxFramingPerBodyByte = 8;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;

}  // namespace

ReadGuard::ReadGuard(GMainContext* context, const ReadGuardOptions& options,
                     EndFunction end)
    : context_(context), options_(options), end_(std::move(end)) {}

ReadGuard::~ReadGuard() {
  for (const auto& [message, reading] : reading_) {
    g_object_weak_unref(G_OBJECT(message), &OnMessageFinalized, this);
  }
}

void ReadGuard::OnMessageFinalized(gpointer self, GObject* message) {
  static_cast<ReadGuard*>(self)->Forget(
      reinterpret_cast<SoupServerMessage*>(message));
}

void ReadGuard::Forget(SoupServerMessage* message) {
  const auto found = reading_.find(message);
  if (found == reading_.end()) return;
  if (!found->second.refusal) body_bytes_ -= found->second.body_bytes;
  reading_.erase(found);
}

SoupServerMessage* ReadGuard::Largest() const {
  SoupServerMessage* largest = nullptr;
  std::int64_t most = 0;
  for (const auto& [message, reading] : reading_) {
    if (reading.refusal || reading.body_bytes <= most) continue;
    largest = message;
    most = reading.body_bytes;
  }
  return largest;
}

int ReadGuard::Begun() const {
  const auto is_read = [](const auto& item) {
    return !item.second.refusal.has_value();
  };
  const auto in_head = [](const ClientConnection* connection) {
    return connection->in_head();
  };
  return static_cast<int>(
      std::count_if(reading_.begin(), reading_.end(), is_read) +
      std::count_if(heads_.begin(), heads_.end(), in_head));
}

void ReadGuard::StartTimer() {
  if (timer_) return;
  timer_ = AddTimer(context_, kPollPeriod, [this] { Poll(BootTimeNow()); });
}

void ReadGuard::AddHead(ClientConnection* connection) {
  heads_.insert(connection);
  StartTimer();
}

void ReadGuard::OnClosed(ClientConnection* connection) {
  heads_.erase(connection);
}

void ReadGuard::Add(SoupServerMessage* message, Time now) {
  const ClientConnection* connection = ConnectionOf(message);
  if (connection == nullptr) return;
  const auto [entry, added] = reading_.try_emplace(message);
  if (!added) return;
  g_object_weak_ref(G_OBJECT(message), &OnMessageFinalized, this);
  entry->second.begun_at = connection->begun_at();
  entry->second.head_at = now;
  StartTimer();
}

void ReadGuard::OnBody(SoupServerMessage* message, std::int64_t bytes) {
  const auto found = reading_.find(message);
  if (found == reading_.end()) return;
  found->second.body_bytes += bytes;
  if (!found->second.refusal) body_bytes_ += bytes;
}

void ReadGuard::OnRefused(SoupServerMessage* message, ReadRefusal refusal) {
  const auto found = reading_.find(message);
  if (found == reading_.end() || found->second.refusal) return;
  body_bytes_ -= found->second.body_bytes;
  found->second.refusal = std::move(refusal);
}

void ReadGuard::Remove(SoupServerMessage* message) {
  if (!reading_.contains(message)) return;
  Forget(message);
  g_object_weak_unref(G_OBJECT(message), &OnMessageFinalized, this);
}

bool ReadGuard::IsTooSlow(const Reading& reading, Time now) const {
  if (options_.min_body_bytes_per_second == 0) return false;
  const double seconds = ToSeconds(now - reading.head_at - options_.body_grace);
  return static_cast<double>(reading.body_bytes) <
         seconds * static_cast<double>(options_.min_body_bytes_per_second);
}

std::optional<ReadRefusal> ReadGuard::Judge(SoupServerMessage* message,
                                            const Reading& reading,
                                            Time now) const {
  if (reading.refusal.has_value()) return reading.refusal;
  if (now - reading.begun_at >= options_.timeout) {
    return ReadRefusal{kRequestTimeout, "the request isn't complete in time"};
  }
  if (IsTooSlow(reading, now)) {
    return ReadRefusal{kRequestTimeout, "the request arrives too slowly"};
  }
  const std::int64_t framing =
      ConnectionOf(message)->request_bytes() - reading.body_bytes;
  const std::int64_t limit =
      kMaxFramingBytes + kMaxFramingPerBodyByte * reading.body_bytes;
  if (framing > limit) {
    return ReadRefusal{kBadRequest, "the request has too much framing"};
  }
  return std::nullopt;
}

void ReadGuard::PollHeads(Time now) {
  std::erase_if(heads_, [&](ClientConnection* connection) {
    if (!connection->in_head()) return true;
    const Duration limit = std::min(options_.head_timeout, options_.timeout);
    if (now - connection->begun_at() < limit) return false;
    connection->RefuseHead(
        {.status = kRequestTimeout, .text = "the head isn't complete in time"});
    return true;
  });
}

void ReadGuard::Poll(Time now) {
  PollHeads(now);
  std::vector<std::pair<GObjectPtr<SoupServerMessage>, ReadRefusal>> ended;
  for (auto& [message, reading] : reading_) {
    auto refusal = Judge(message, reading, now);
    if (!refusal.has_value()) continue;
    ended.emplace_back(ShareGObject(message), std::move(*refusal));
  }
  for (const auto& [message, refusal] : ended) {
    Remove(message.get());
    end_(message.get(), refusal);
  }
  if (reading_.empty() && heads_.empty()) timer_.reset();
}

}  // namespace cassiausher
