// Guards at-most-once execution against instance failures, reused keys, and
// entries that are delayed or duplicated.
#include "servers/ledger/ledger.h"

#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/ledger/ledger_messages.h"

// CppUTest last: its macros conflict with standard library headers.
#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr LedgerLimits kLimits;

LedgerKey Key(const char* key, const char* account = "a") {
  return {AccountId(account), IdempotencyKey(key)};
}

LedgerClaim MakeClaim(const char* key, const char* request,
                      std::uint64_t body_hash = 1,
                      const char* instance = "east-1") {
  return {Key(key), InstanceId(instance), Incarnation(1), RequestId(request),
          body_hash};
}

LedgerResult MakeResult(const char* key, const char* request, RecordState state,
                        const std::string& body = "") {
  return {Key(key), RequestId(request), state, {200, "text/plain", body, true}};
}

template <typename Expected>
void CheckAnswer(const Expected& expected, const LedgerAnswer& answer) {
  CHECK(std::holds_alternative<Expected>(answer));
  CHECK(std::get<Expected>(answer) == expected);
}

/// Simulates entry instances whose log entries are delayed, reordered and
/// duplicated. Fails if a key is executed more than once.
class LedgerSimulation {
 public:
  explicit LedgerSimulation(std::uint64_t seed) : random_(seed) {}

  void Run() {
    for (int step = 0; step < 3000; ++step) {
      switch (random_.Below(10)) {
        case 0:
        case 1:
          StartRequest();
          break;
        case 2:
          EndRandomRequest();
          break;
        case 3:
          if (random_.Chance(0.2)) LoseInstance();
          break;
        default:
          Commit();
      }
    }
    while (!in_flight_.empty()) Commit();
    // Once all requests have ended and all instances are lost, no key may stay
    // claimed.
    for (auto& [id, request] : requests_) Finish(id, &request);
    for (int i = 0; i < kInstances; ++i) Lose(i, true);
    while (!in_flight_.empty()) Commit();
    for (const LedgerRecord* record : ledger_.RecordsByAge()) {
      RC_ASSERT(record->state != RecordState::kClaimed);
    }
  }

  int executed = 0;
  int replayed = 0;
  int unknown = 0;

 private:
  static constexpr int kInstances = 4;
  struct Request {
    LedgerKey key;
    int instance = 0;
    std::uint64_t process = 0;
    std::string body;
    bool released = false;
    bool started = false;
    bool finished = false;
  };
  struct Instance {
    std::uint64_t process = 1;
    std::uint64_t incarnation = 1;
  };

  void Send(LedgerEntry entry) {
    const int copies = random_.Chance(0.2) ? 2 : 1;
    for (int i = 0; i < copies; ++i) in_flight_.push_back(entry);
  }

  bool IsAlive(const Request& request) const {
    return instances_[request.instance].process == request.process;
  }

  void StartRequest() {
    Request request;
    request.instance = static_cast<int>(random_.Below(kInstances));
    request.process = instances_[request.instance].process;
    request.key = {AccountId(std::to_string(random_.Below(2))),
                   IdempotencyKey(std::to_string(random_.Below(40)))};
    const RequestId id("r" + std::to_string(requests_.size()));
    request.body = "answer of " + id.value();
    Send(LedgerClaim{request.key, NameOf(request.instance),
                     Incarnation(instances_[request.instance].incarnation), id,
                     7});
    requests_[id] = request;
  }

  void EndRandomRequest() {
    if (requests_.empty()) return;
    auto picked = requests_.begin();
    std::advance(picked, random_.Below(requests_.size()));
    Finish(picked->first, &picked->second);
  }

  void Finish(const RequestId& id, Request* request) {
    if (!IsAlive(*request) || request->finished || request->released) return;
    LedgerResult result{request->key, id, RecordState::kNotRun, {}};
    if (request->started) {
      request->finished = true;
      result.state = RecordState::kCompleted;
      result.answer = {200, "text/plain", request->body, true};
    } else {
      request->released = true;
    }
    Send(result);
  }

  void LoseInstance() {
    const int index = static_cast<int>(random_.Below(kInstances));
    Lose(index, random_.Chance(0.7));
  }

  /// Declares the current incarnation dead. If membership is wrong (`is_dead`
  /// is false), the process continues under a new incarnation.
  void Lose(int index, bool is_dead) {
    Instance& instance = instances_[index];
    Send(LedgerInstanceLost{NameOf(index), Incarnation(instance.incarnation)});
    ++instance.incarnation;
    if (is_dead) ++instance.process;
  }

  void Commit() {
    if (in_flight_.empty()) return;
    const std::size_t picked = random_.Below(in_flight_.size());
    const auto entry = DecodeLedgerEntry(EncodeLedgerEntry(in_flight_[picked]));
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(picked));
    const auto answer =
        DecodeLedgerAnswer(EncodeLedgerAnswer(ledger_.Apply(*entry, kLimits)));
    RC_ASSERT(replica_.Apply(*entry, kLimits) == *answer);
    if (random_.Chance(0.02)) Restart();
    if (const auto* claim = std::get_if<LedgerClaim>(&*entry)) {
      OnAnswer(&requests_.at(claim->request), *answer);
    }
  }

  /// Restores the ledger from its own snapshot.
  void Restart() {
    std::vector<LedgerRecord> records;
    for (const auto* record : ledger_.RecordsByAge()) {
      records.push_back(*record);
    }
    Ledger restored;
    restored.Restore(ledger_.clock(), records, ledger_.lost());
    RC_ASSERT(ledger_ == restored);
    ledger_ = std::move(restored);
  }

  void OnAnswer(Request* request, const LedgerAnswer& answer) {
    if (const auto* replay = std::get_if<ReplayAnswer>(&answer)) {
      RC_ASSERT(replay->answer.body == answers_.at(request->key));
      ++replayed;
    }
    if (std::holds_alternative<OutcomeUnknown>(answer)) ++unknown;
    if (!std::holds_alternative<RunRequest>(answer)) return;
    if (!IsAlive(*request) || request->released || request->started) return;
    request->started = true;
    // Fails on a second execution of the key.
    RC_ASSERT(answers_.emplace(request->key, request->body).second);
    ++executed;
  }

  static InstanceId NameOf(int index) {
    return InstanceId("i" + std::to_string(index));
  }

  Random random_;
  Ledger ledger_;
  Ledger replica_;
  Instance instances_[kInstances];
  std::map<RequestId, Request> requests_;
  std::vector<LedgerEntry> in_flight_;
  /// Response body of the only execution of each key.
  std::map<LedgerKey, std::string> answers_;
};

}  // namespace

TEST_GROUP(Ledger){};

TEST(Ledger, KeyRunsAtMostOnceUnderInstanceLossesAndDuplicateEntries) {
  int executed = 0;
  int replayed = 0;
  int unknown = 0;
  const auto run = [&] {
    const auto seed =
        *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1u << 31));
    LedgerSimulation simulation(seed);
    simulation.Run();
    executed += simulation.executed;
    replayed += simulation.replayed;
    unknown += simulation.unknown;
  };
  CHECK(rc::check("at most once", run));
  std::printf("executed %d, replayed %d, unknown %d\n", executed, replayed,
              unknown);
  CHECK(executed > 1000);
  CHECK(replayed > 1000);
  CHECK(unknown > 1000);
}

TEST(Ledger, ClaimIsAnsweredByTheStateOfTheRecord) {
  Ledger ledger;
  CheckAnswer(RunRequest(), ledger.Apply(MakeClaim("k", "r1"), kLimits));
  // The entry instance retries its claim after a lost reply.
  CheckAnswer(RunRequest(), ledger.Apply(MakeClaim("k", "r1"), kLimits));
  CheckAnswer(
      AttachToRequest{InstanceId("east-1"), Incarnation(1), RequestId("r1")},
      ledger.Apply(MakeClaim("k", "r2", 1, "west-1"), kLimits));
  CheckAnswer(ClaimRefused{LedgerRefusal::kOtherBody},
              ledger.Apply(MakeClaim("k", "r3", 2), kLimits));
  ledger.Apply(MakeResult("k", "r9", RecordState::kCompleted, "no"), kLimits);
  ledger.Apply(MakeResult("k", "r1", RecordState::kCompleted, "yes"), kLimits);
  CheckAnswer(ReplayAnswer{{200, "text/plain", "yes", true}},
              ledger.Apply(MakeClaim("k", "r4"), kLimits));
  // Keys are scoped to the account.
  LedgerClaim other = MakeClaim("k", "r5", 2);
  other.key.account = AccountId("b");
  CheckAnswer(RunRequest(), ledger.Apply(other, kLimits));
}

// Guards against a caller that received not_run:true and cannot reuse its key.
TEST(Ledger, ReleasedKeyCanBeClaimedExceptByTheReleasedRequest) {
  Ledger ledger;
  ledger.Apply(MakeClaim("k", "r1"), kLimits);
  ledger.Apply(MakeResult("k", "r1", RecordState::kNotRun), kLimits);
  CheckAnswer(ClaimRefused{LedgerRefusal::kReleased},
              ledger.Apply(MakeClaim("k", "r1"), kLimits));
  CheckAnswer(RunRequest(), ledger.Apply(MakeClaim("k", "r2", 2), kLimits));
  // The release is applied before its claim.
  ledger.Apply(MakeResult("l", "r3", RecordState::kNotRun), kLimits);
  CheckAnswer(ClaimRefused{LedgerRefusal::kReleased},
              ledger.Apply(MakeClaim("l", "r3"), kLimits));
}

TEST(Ledger, InstanceLossMakesTheOutcomeUnknownUntilTheResultArrives) {
  Ledger ledger;
  ledger.Apply(MakeClaim("k", "r1"), kLimits);
  CHECK(ledger.ClaimHolders().at(InstanceId("east-1")) == Incarnation(1));
  ledger.Apply(LedgerInstanceLost{InstanceId("east-1"), Incarnation(1)},
               kLimits);
  CHECK(ledger.ClaimHolders().empty());
  CheckAnswer(OutcomeUnknown(),
              ledger.Apply(MakeClaim("k", "r2", 1, "west-1"), kLimits));
  // A claim that was in flight when the instance died must not hold its key.
  CheckAnswer(ClaimRefused{LedgerRefusal::kReleased},
              ledger.Apply(MakeClaim("l", "r3"), kLimits));
  CheckAnswer(RunRequest(),
              ledger.Apply(MakeClaim("l", "r4", 1, "west-1"), kLimits));
  // The instance was alive after all.
  ledger.Apply(MakeResult("k", "r1", RecordState::kCompleted, "x"), kLimits);
  CheckAnswer(ReplayAnswer{{200, "text/plain", "x", true}},
              ledger.Apply(MakeClaim("k", "r5", 1, "west-1"), kLimits));
}

TEST(Ledger, CompletedRecordsExpireButClaimsDoNot) {
  Ledger ledger;
  const LedgerLimits limits{.retention = Seconds(60)};
  ledger.Apply(MakeClaim("open", "r1"), limits);
  ledger.Apply(MakeClaim("done", "r2"), limits);
  ledger.Apply(LedgerExpiry{Seconds(30)}, limits);
  ledger.Apply(MakeResult("done", "r2", RecordState::kCompleted, "x"), limits);
  ledger.Apply(LedgerExpiry{Seconds(59)}, limits);
  CHECK(ledger.Find(Key("done")) != nullptr);
  // A negative duration must not turn the clock back, which would extend the
  // retention of the records.
  ledger.Apply(LedgerExpiry{Seconds(-30)}, limits);
  ledger.Apply(LedgerExpiry{Seconds(1)}, limits);
  CHECK(ledger.Find(Key("done")) == nullptr);
  CHECK(ledger.Find(Key("open")) != nullptr);
  LONGS_EQUAL(0, ledger.answers_bytes());
}

TEST(Ledger, MemoryIsBoundedByTheLimits) {
  Ledger ledger;
  const LedgerLimits limits{
      .records = 100, .answer_bytes = 1000, .all_answers_bytes = 5000};
  for (int i = 0; i < 300; ++i) {
    const std::string name = std::to_string(1000 + i);
    const auto answer =
        ledger.Apply(MakeClaim(name.c_str(), name.c_str()), limits);
    CHECK(i < 100 ? answer == LedgerAnswer(RunRequest())
                  : answer ==
                        LedgerAnswer(ClaimRefused{LedgerRefusal::kLedgerFull}));
    ledger.Apply(MakeResult(name.c_str(), name.c_str(), RecordState::kCompleted,
                            std::string(i % 2 == 0 ? 400 : 1001, 'x')),
                 limits);
  }
  LONGS_EQUAL(100, ledger.size());
  CHECK(ledger.answers_bytes() <= 5000);
  CHECK(ledger.MemoryBytes() <=
        100 * (Ledger::kRecordOverheadBytes + 100) + 5000);
  // The status is recorded even if the response body is not stored.
  const auto replay =
      std::get<ReplayAnswer>(ledger.Apply(MakeClaim("1001", "x"), limits));
  LONGS_EQUAL(200, replay.answer.status);
  CHECK(!replay.answer.kept);
}
