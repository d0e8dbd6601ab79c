// Records of requests with an idempotency key, for at-most-once execution.
// Replicated state machine: every replica applies the same entries in order.
#ifndef SERVERS_LEDGER_LEDGER_H_
#define SERVERS_LEDGER_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// An idempotency key, scoped to a client account: two accounts may use the
/// same key for different requests.
struct LedgerKey {
  AccountId account;
  IdempotencyKey key;

  auto operator<=>(const LedgerKey&) const = default;
};

/// State of a record. The values are stored in the replicated log; never reuse
/// one.
enum class RecordState {
  kClaimed = 1,    ///< The request may have been sent to an endpoint.
  kCompleted = 2,  ///< The outcome is known.
  kUnknown = 3,    ///< The entry instance died while it held the claim.
  kNotRun = 4,     ///< Released before it was sent to an endpoint.
};

/// HTTP response of a completed request, kept for replay.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  /// False if the body was not stored because of a size limit; only the status
  /// is known then.
  bool kept = true;

  bool operator==(const RecordedAnswer&) const = default;
};

/// Claims the key for a request, before the entry instance runs it.
struct LedgerClaim {
  LedgerKey key;
  InstanceId instance;
  Incarnation incarnation{0};
  RequestId request;
  std::uint64_t body_hash = 0;

  bool operator==(const LedgerClaim&) const = default;
};

/// Reports the outcome of a claimed request. After kNotRun the entry instance
/// never sends the request to an endpoint, even if its claim is granted later.
struct LedgerResult {
  LedgerKey key;
  RequestId request;
  RecordState state = RecordState::kCompleted;
  RecordedAnswer answer;

  bool operator==(const LedgerResult&) const = default;
};

/// Membership declared `instance` dead in all incarnations up to `incarnation`.
struct LedgerInstanceLost {
  InstanceId instance;
  Incarnation incarnation{0};

  bool operator==(const LedgerInstanceLost&) const = default;
};

/// Advances the ledger clock by the time since the leader's last expiry entry.
/// Time without a leader does not count, so records may be retained for longer
/// than the limit, but never for less.
struct LedgerExpiry {
  Duration elapsed{0};

  bool operator==(const LedgerExpiry&) const = default;
};

using LedgerEntry =
    std::variant<LedgerClaim, LedgerResult, LedgerInstanceLost, LedgerExpiry>;

/// The request was granted the claim and may run.
struct RunRequest {
  bool operator==(const RunRequest&) const = default;
};
/// Another request with this key is in progress at `instance`.
struct AttachToRequest {
  InstanceId instance;
  Incarnation incarnation{0};
  RequestId request;

  bool operator==(const AttachToRequest&) const = default;
};
/// A request with this key is completed; its response is returned again.
struct ReplayAnswer {
  RecordedAnswer answer;

  bool operator==(const ReplayAnswer&) const = default;
};
/// An earlier request with this key may have run; its outcome is unknown.
struct OutcomeUnknown {
  bool operator==(const OutcomeUnknown&) const = default;
};

/// Reason of a refused claim. The values are sent between instances; never
/// reuse one.
enum class LedgerRefusal {
  kOtherBody = 1,   ///< Key reused with another body; HTTP 409 for callers.
  kLedgerFull = 2,  ///< The limit of records is reached; retry later.
  kReleased = 3,    ///< The claim was applied after its release or after its
                    ///< instance was declared dead.
};
/// The request must not run.
struct ClaimRefused {
  LedgerRefusal reason = LedgerRefusal::kOtherBody;

  bool operator==(const ClaimRefused&) const = default;
};

/// Result of applying an entry; std::monostate for entries other than claims.
using LedgerAnswer = std::variant<std::monostate, RunRequest, AttachToRequest,
                                  ReplayAnswer, OutcomeUnknown, ClaimRefused>;

/// Taken from the active configuration, so that all replicas use the same
/// limits.
struct LedgerLimits {
  Duration retention = Seconds(24 * 3600);
  std::size_t records = 50000;
  std::size_t answer_bytes = 64 << 10;
  std::size_t all_answers_bytes = 24 << 20;
};

/// State of one key, as stored in snapshots.
struct LedgerRecord {
  LedgerClaim claim;
  RecordState state = RecordState::kClaimed;
  RecordedAnswer answer;
  /// Ledger clock at the last change of state.
  Duration stamp{0};
  /// The last requests that released this key; a claim of theirs that is
  /// applied later is refused.
  std::vector<RequestId> released;

  bool operator==(const LedgerRecord&) const = default;
};

/// The highest incarnation of an instance that was declared dead.
struct LostInstance {
  Incarnation incarnation{0};
  /// Ledger clock at the last LedgerInstanceLost entry of the instance.
  Duration stamp{0};

  bool operator==(const LostInstance&) const = default;
};

/// Not thread safe. Deterministic: the state depends only on the sequence of
/// applied entries and their limits.
class Ledger {
 public:
  /// Estimated memory of a record without its string contents: map nodes and
  /// string objects. These take 547 bytes on amd64, plus 32 per released
  /// request.
  static constexpr std::size_t kRecordOverheadBytes = 768;
  /// Maximum size of LedgerRecord::released.
  static constexpr std::size_t kMaxReleased = 8;

  Ledger() = default;
  /// Movable only: `by_age_` points into `records_`, which a move keeps valid
  /// but a copy would not.
  Ledger(Ledger&&) = default;
  Ledger& operator=(Ledger&&) = default;

  LedgerAnswer Apply(const LedgerEntry& entry, const LedgerLimits& limits);

  /// Returns the record of `key`, or nullptr if there is none.
  const LedgerRecord* Find(const LedgerKey& key) const;

  /// Instances that hold claims, with the lowest incarnation of a claim. The
  /// leader proposes LedgerInstanceLost for those that are no longer alive;
  /// otherwise their keys would stay claimed if the proposal of the previous
  /// leader was lost.
  std::map<InstanceId, Incarnation> ClaimHolders() const;

  std::size_t size() const { return records_.size(); }
  Duration clock() const { return clock_; }
  /// Upper estimate of the memory use.
  std::size_t MemoryBytes() const;
  std::size_t answers_bytes() const { return answers_bytes_; }

  /// Records in the order of their last change of state, oldest first, for
  /// snapshots.
  std::vector<const LedgerRecord*> RecordsByAge() const;
  const std::map<InstanceId, LostInstance>& lost() const { return lost_; }
  /// Replaces the entire state. `records` must be in the order of
  /// RecordsByAge().
  void Restore(Duration clock, std::vector<LedgerRecord> records,
               std::map<InstanceId, LostInstance> lost);

  bool operator==(const Ledger& other) const;

 private:
  struct Slot {
    LedgerRecord record;
    /// Sequence number of the last change of state; key in `by_age_`.
    std::uint64_t age = 0;
  };
  using Records = std::map<LedgerKey, Slot>;

  LedgerAnswer Claim(const LedgerClaim& claim, const LedgerLimits& limits);
  LedgerAnswer ClaimExisting(const LedgerClaim& claim, Slot* slot);
  void Finish(const LedgerResult& result, const LedgerLimits& limits);
  void MarkInstanceLost(const LedgerInstanceLost& lost);
  void Expire(const LedgerExpiry& expiry, const LedgerLimits& limits);

  bool IsLost(const LedgerClaim& claim) const;
  /// Adds a record for a key that has none.
  Slot& Insert(const LedgerClaim& claim, RecordState state);
  void SetState(Slot* slot, RecordState state);
  void SetAnswer(Slot* slot, RecordedAnswer answer, const LedgerLimits& limits);
  void Release(Slot* slot, const RequestId& request);
  void Erase(Records::iterator position);

  /// Never decreases.
  Duration clock_{0};
  Records records_;
  /// Records in the order of their last change of state, so that expiry visits
  /// only records past the retention.
  std::map<std::uint64_t, Slot*> by_age_;
  /// Sequence number of the next change of state.
  std::uint64_t next_age_ = 1;
  std::size_t answers_bytes_ = 0;
  std::size_t text_bytes_ = 0;
  /// Highest incarnation of each instance that was declared dead, for the
  /// retention.
  std::map<InstanceId, LostInstance> lost_;
};

}  // namespace cassiausher

#endif  // SERVERS_LEDGER_LEDGER_H_
