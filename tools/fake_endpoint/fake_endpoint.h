// Simulated model engine or plain service for tests. It implements
// docs/endpoint-protocol.md, reports its state to checkers and injects faults
// on request.
#ifndef TOOLS_FAKE_ENDPOINT_FAKE_ENDPOINT_H_
#define TOOLS_FAKE_ENDPOINT_FAKE_ENDPOINT_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "tools/fake_endpoint/announcer.h"
#include "tools/fake_endpoint/endpoint_faults.h"
#include "tools/fake_endpoint/endpoint_options.h"
#include "tools/fake_endpoint/reply.h"
#include "tools/fake_endpoint/timers.h"

namespace cassiausher {

/// Not thread-safe: create and use it on one thread. It runs on the thread's
/// default GLib main context.
class FakeEndpoint {
 public:
  explicit FakeEndpoint(EndpointOptions options);
  ~FakeEndpoint();
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;

  /// Binds the listening socket and starts to announce. Returns an error
  /// message, or an empty string on success.
  std::string Start();
  /// Base URL with the bound port.
  std::string url() const;

  /// Announces the departure. Calls `done` once no request is running and the
  /// instances had time to process the announcement.
  void Depart(std::function<void()> done);

  /// Body of the answer to GET /fake/state.
  nlohmann::json State() const;

 private:
  enum class Phase {
    kQueued,
    kPrefill,
    kRetained,
    kExporting,
    kImporting,
    kDecode
  };
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;
  /// Priority, then arrival sequence number.
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;
  struct Call;

  static void HandleCall(SoupServer* server, SoupServerMessage* message,
                         const char* path, GHashTable* query, gpointer self);
  void Dispatch(const Call& call);
  void OnEngineCall(const Call& call, bool chat);
  void OnKvExport(const Call& call);
  void OnCancel(const Call& call);
  void OnSessions(const Call& call);
  void OnOrder(const Call& call);
  void OnFault(const Call& call);
  void OnPlainCall(const Call& call);

  /// Records `epoch` and returns whether the request may proceed. False when
  /// the pool has had a higher epoch and fencing is honoured.
  bool CheckEpoch(const std::string& pool, std::uint64_t epoch);
  /// Answers a request with a stale epoch with status 409; true if it did.
  bool RejectStaleEpoch(const Call& call);
  /// Counts a request that arrives after the departure was announced.
  void CountNewWork();
  /// Continues a stream after the token `last_event` on the call's connection.
  /// Returns false when there is no such stream or the token is not part of it.
  bool Resume(const Call& call, const std::string& request_id,
              std::int64_t last_event);

  /// Gives free decode slots to queued requests.
  void AssignSlots();
  void StartImport(const SessionPtr& session);
  void OnImported(const SessionPtr& session, unsigned status);
  void QueuePrefill(const SessionPtr& session);
  void StartNextPrefill();
  void BeginPrefill(const SessionPtr& session);
  void OnPrefilled(const SessionPtr& session);
  void Retain(const SessionPtr& session);
  /// Returns the number of prompt tokens in the prefix cache and adds the
  /// prompt's prefixes to it.
  std::int64_t LookUpAndCachePrefixes(std::string_view prompt);

  void StartDecode(const SessionPtr& session);
  void ScheduleStep();
  void Step();
  void Generate(const SessionPtr& session, std::int64_t count);
  void WriteTokens(Session& session);
  void AppendChunk(const Session& session, std::int64_t n, std::string* out);
  void Finish(const SessionPtr& session);
  /// Frees the KV cache, slot and queue positions of `session`. Does nothing on
  /// the second call.
  void Release(const SessionPtr& session);
  void ReleaseOnDisconnect(const SessionPtr& session);
  /// Runs the action at once, or at the end of a stall fault.
  void AfterStall(std::function<void()> action);

  EndpointLoad Load() const;
  void CheckDeparted();

  EndpointOptions options_;
  EndpointFaults faults_;
  Random random_;
  GMainContext* context_;
  Timers timers_;
  SoupServer* server_ = nullptr;
  SoupSession* client_ = nullptr;
  std::unique_ptr<Announcer> announcer_;
  std::uint16_t port_ = 0;

  std::uint64_t next_session_ = 1;
  std::unordered_map<std::string, SessionPtr> sessions_;
  std::unordered_multimap<std::string, SessionPtr> sessions_by_request_id_;
  /// Finished streams, kept for a while so that a client whose connection was
  /// lost can resume them. By request id.
  std::unordered_map<std::string, SessionPtr> finished_sessions_;
  std::map<QueueKey, SessionPtr> slot_queue_;
  std::map<QueueKey, SessionPtr> prefill_queue_;
  SessionPtr prefilling_;
  /// When prefill compute becomes free; computed from the prefill durations, so
  /// that timer delays don't affect it.
  std::int64_t prefill_free_at_us_ = 0;
  std::int64_t link_free_at_us_ = 0;
  std::int64_t slots_used_ = 0;
  std::vector<SessionPtr> decoding_;
  bool step_scheduled_ = false;
  std::int64_t next_step_at_us_ = 0;

  std::int64_t held_kv_bytes_ = 0;
  std::int64_t plain_running_ = 0;
  std::unordered_map<std::string, std::int64_t> execution_counts_;
  /// Highest epoch seen, by pool.
  std::map<std::string, std::uint64_t> highest_epochs_;
  nlohmann::json orders_ = nlohmann::json::array();

  bool departing_ = false;
  std::int64_t departing_since_us_ = 0;
  std::int64_t new_work_since_departing_ = 0;
  /// New requests more than kDepartureGraceUs after the departure.
  std::int64_t new_work_after_grace_ = 0;
  std::function<void()> on_departed_;

  /// Hashes of the cached prefixes, oldest first.
  std::list<std::uint64_t> prefix_insertion_order_;
  std::set<std::uint64_t> cached_prefixes_;
};

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_FAKE_ENDPOINT_H_
