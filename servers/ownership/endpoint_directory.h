// Registry of the endpoints of one pool, as they announce themselves to its
// owner.
//
// Announcements are untrusted input: they may be repeated, late, from an
// earlier run, contradictory or implausible. What is rejected is counted and
// recorded as a finding.
#ifndef SERVERS_OWNERSHIP_ENDPOINT_DIRECTORY_H_
#define SERVERS_OWNERSHIP_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/routing/router_types.h"

namespace cassiausher {

struct EndpointDirectoryOptions {
  DataCentreId data_centre;
  ServiceId service;
  /// Time since the last announcement; endpoints announce themselves each
  /// second.
  Duration suspect_after = Milliseconds(1500);
  Duration dead_after = Milliseconds(3500);
  /// A dead endpoint's incarnation is kept this long, to reject late
  /// announcements of that run.
  Duration forget_after = Seconds(600);
  std::size_t endpoints_maximum = 1000;
  std::size_t findings_maximum = 64;
  /// Greatest plausible values of one endpoint.
  int slots_maximum = 4096;
  Bytes kv_capacity_maximum{std::int64_t{1} << 46};
  double prefill_rate_maximum = 1e8;
  Bytes kv_bytes_per_token_maximum{std::int64_t{1} << 28};
  Duration report_age_maximum = Seconds(60);
  int waiting_maximum = 1'000'000;
};

enum class EndpointState { kAlive, kSuspect, kDeparted, kDead };

enum class EndpointEventKind {
  /// New, or an announced value changed: pass `info` to the policy.
  kUpserted,
  kSuspect,
  kAlive,
  /// Restarted and lost its sessions: remove it, then pass `info` to the
  /// policy.
  kRestarted,
  /// Silent for too long, after announcing its departure or without: remove it.
  kDeparted,
  kDead,
};

struct EndpointEvent {
  EndpointEventKind kind = EndpointEventKind::kUpserted;
  EndpointInfo info;
};

struct DirectoryRow {
  EndpointInfo info;
  EndpointState state = EndpointState::kAlive;
  Time last_announced{};
  /// When `state` was entered.
  Time since{};
  bool drained_by_operator = false;
};

struct DirectoryCounters {
  std::uint64_t accepted = 0;
  std::uint64_t wrong_pool = 0;
  std::uint64_t malformed = 0;
  std::uint64_t implausible = 0;
  std::uint64_t stale_incarnation = 0;
  std::uint64_t contradictory = 0;
  std::uint64_t over_capacity = 0;
  std::uint64_t reports_rejected = 0;
};

/// Not thread safe. Call Tick() at NextWakeup() at the latest, and TakeEvents()
/// after each call.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(EndpointDirectoryOptions options)
      : options_(std::move(options)) {}

  /// Returns false if the announcement is rejected; the reason is the last
  /// finding.
  bool Announce(const EndpointInfo& info, Time now);
  /// Returns the report if it is to be passed to the policy.
  std::optional<LoadReport> Report(const LoadReport& report, Time now);
  /// Replaces the set of endpoints that the configuration drains.
  void SetDrained(const std::set<EndpointId>& drained, Time now);
  void Tick(Time now);
  Time NextWakeup() const;

  std::vector<EndpointEvent> TakeEvents();
  std::vector<DirectoryRow> Endpoints() const;
  /// The latest rejections, oldest first.
  std::vector<Finding> findings() const {
    return {findings_.begin(), findings_.end()};
  }
  const DirectoryCounters& counters() const { return counters_; }

 private:
  struct Entry {
    /// As announced, without the operator's drain.
    EndpointInfo info;
    EndpointState state = EndpointState::kAlive;
    Time last_announced{};
    Time since{};
    std::uint64_t last_report = 0;

    bool present() const {
      return state == EndpointState::kAlive || state == EndpointState::kSuspect;
    }
  };

  /// Counts the rejection and records a finding; returns false.
  bool Reject(std::uint64_t* counter, const EndpointId& id,
              const std::string& reason);
  bool CheckPlausible(const EndpointInfo& info);
  EndpointInfo WithOperatorDrain(const EndpointInfo& info) const;
  void SetState(Entry& entry, EndpointState state, Time now);
  void Emit(EndpointEventKind kind, const EndpointInfo& info);
  /// When the entry changes state or is removed without a new announcement.
  Time Due(const Entry& entry) const;

  EndpointDirectoryOptions options_;
  std::map<EndpointId, Entry> entries_;
  std::set<EndpointId> drained_;
  std::vector<EndpointEvent> events_;
  std::deque<Finding> findings_;
  DirectoryCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_OWNERSHIP_ENDPOINT_DIRECTORY_H_
