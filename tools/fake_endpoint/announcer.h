// Announces a fake endpoint to the instances of its data centre. Load reports
// are out of date by a configured lag; cache events are delayed and some are
// lost, which leaves gaps in their sequence numbers.
#ifndef TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_
#define TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/random.h"
#include "tools/fake_endpoint/endpoint_options.h"
#include "tools/fake_endpoint/timers.h"

namespace cassiausher {

/// Snapshot of an endpoint's load.
struct EndpointLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t queued_prompt_tokens = 0;
  std::int64_t kv_bytes = 0;
};

/// Not thread-safe: call it on the thread that runs `timers`. `options`,
/// `timers` and `client` must outlive it. The role and fencing in `options` may
/// change while it runs; the next announcement contains the new values.
class Announcer {
 public:
  Announcer(const EndpointOptions& options, Timers& timers, SoupSession* client,
            std::function<EndpointLoad()> get_load);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  /// Announces `url` at once and then every second.
  void Start(std::string url);
  /// Stops announcing and cancels requests in progress. Iterate the main
  /// context before deleting the object, so that their callbacks have run.
  void Stop();
  /// Sends an announcement without waiting for the next period.
  void AnnounceNow() { Announce(0); }
  void AddModel(std::string model) { models_.push_back(std::move(model)); }
  /// Queues a prefix cache event. It is announced after a delay, or lost at
  /// random.
  void AddCacheEvent(bool stored, std::uint64_t prefix_hash);
  void set_departing() { departing_ = true; }

  /// Number of announcements that an instance answered with status 200.
  std::int64_t accepted() const { return accepted_; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct LoadSample {
    std::int64_t at_us = 0;
    EndpointLoad load;
  };
  struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false;
    std::uint64_t prefix_hash = 0;
    std::int64_t visible_at_us = 0;
  };

  void TakeLoadSample();
  nlohmann::json BuildAnnouncement();
  void AnnounceEverySecond();
  /// Sends an announcement to the URL that is `attempt` places after the last
  /// one that accepted; on failure it tries the next, up to all URLs once.
  void Announce(std::size_t attempt);

  const EndpointOptions& options_;
  Timers& timers_;
  SoupSession* client_;
  GCancellable* cancellable_;
  std::function<EndpointLoad()> get_load_;
  Random random_;
  std::string url_;
  std::vector<std::string> models_;
  std::uint64_t incarnation_;
  bool departing_ = false;
  std::uint64_t sequence_ = 0;
  std::size_t preferred_url_index_ = 0;
  std::int64_t accepted_ = 0;
  std::deque<LoadSample> load_samples_;
  std::uint64_t cache_sequence_ = 0;
  std::deque<CacheEvent> cache_events_;
};

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_ANNOUNCER_H_
