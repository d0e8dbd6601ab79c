// Many entry instances place streams at runners that are nearly full, by loads
// that are some ten milliseconds old. Guards against instances that all go for
// the same free memory, so that prompts are read and then rejected: what a
// stream frees at a full pool, and a runner that comes back while many wait.
#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "servers/entry/endpoint_pool.h"
#include "servers/loads/shared_loads.h"

namespace cassiausher {
namespace {

constexpr Duration kStep = Milliseconds(5);
constexpr Duration kBatchPeriod = Milliseconds(25);
constexpr Duration kReportPeriod = Milliseconds(500);
constexpr Duration kPollPeriod = Milliseconds(30);
constexpr Duration kMaxWait = Milliseconds(550);
constexpr Duration kPrefillTime = Milliseconds(200);
constexpr Duration kStreamTime = Seconds(4);
constexpr int kControls = 8;
constexpr Tokens kCapacity{40000};
/// Share of the prompts that may be read for nothing.
constexpr double kMaxWasted = 0.05;

const ServiceId service("model");

struct Stream {
  int entry = 0;
  Tokens size{0};
  Time arrived{};
  Time next_step{};
  /// Where memory is reserved; empty while it waits.
  EndpointId runner;
  bool waits = false;
  bool runs = false;
};

/// A burst at a service whose runners hold some seven streams each.
class Burst {
 public:
  Burst(int entries, int runners, double per_second)
      : runners_(runners), per_second_(per_second) {
    for (int i = 0; i < entries; ++i) {
      pools_.push_back(std::make_unique<EndpointPool>(
          EndpointPoolOptions{.data_centre = DataCentreId("here"),
                              .random_seed = 1 + std::uint64_t(i)}));
      for (int r = 0; r < runners; ++r) pools_.back()->Merge(Runner(r), now_);
    }
  }

  void RunFor(Duration time) {
    for (const Time end = now_ + time; now_ < end; now_ += kStep) {
      Arrive();
      for (Stream& stream : streams_) {
        if (now_ >= stream.next_step) Advance(stream);
      }
      std::erase_if(streams_, [](const Stream& stream) {
        return stream.size == Tokens(0);
      });
      Exchange();
    }
  }

  /// A runner without any stream appears.
  void AddRunner() {
    for (const auto& pool : pools_) pool->Merge(Runner(runners_), now_);
    ++runners_;
  }

  int read = 0;
  int rejected = 0;
  int answered = 0;
  int refused = 0;

 private:
  static EndpointId Name(int runner) {
    return EndpointId("r" + std::to_string(runner));
  }

  static EndpointRecord Runner(int number) {
    EndpointRecord record{.id = Name(number),
                          .service = service,
                          .address = "10.0.0.1:80",
                          .data_centre = DataCentreId("here"),
                          .slots = 64,
                          .incarnation = Incarnation(1),
                          .sequence = 1};
    record.role = EndpointRole::kDecode;
    return record;
  }

  WorkSpec WorkOf(const Stream& stream) const {
    return {.service = service,
            .role = EndpointRole::kDecode,
            .prompt = stream.size,
            .prompt_is_prefilled = true,
            .memory = {stream.size, Tokens(0), Tokens(0)},
            .kv_capacity = kCapacity,
            .full_occupancy = 0.92,
            .reserved_at = stream.runner,
            .can_wait = stream.runner.empty() && CanWait(stream)};
  }

  bool CanWait(const Stream& stream) const {
    return now_ - stream.arrived < kMaxWait;
  }

  void Arrive() {
    if (random_.Unit() >= per_second_ * ToSeconds(kStep)) return;
    streams_.push_back(
        {.entry = static_cast<int>(random_.Below(pools_.size())),
         .size = Tokens(2500 + static_cast<int>(random_.Below(6000))),
         .arrived = now_,
         .next_step = now_});
  }

  void End(Stream& stream) { stream.size = Tokens(0); }

  void Advance(Stream& stream) {
    EndpointPool& pool = *pools_[stream.entry];
    WorkSpec work = WorkOf(stream);
    if (stream.runs) {
      pool.OnFinish(stream.runner, work, WorkOutcome::kDone, kStreamTime, now_);
      held_[stream.runner] -= stream.size;
      ++answered;
      return End(stream);
    }
    if (stream.runner.empty()) return Place(stream, pool, work);
    pool.Release(stream.runner, work.memory);
    const auto placed = pool.Pick(work, now_);
    Tokens& held = held_[placed->endpoint.id];
    if (held + stream.size > kCapacity) {
      ++rejected;
      return End(stream);
    }
    held += stream.size;
    work.reserved_at = stream.runner;
    stream.runner = placed->endpoint.id;
    pool.OnStart(stream.runner, work, now_);
    stream.runs = true;
    stream.next_step = now_ + kStreamTime;
  }

  void Place(Stream& stream, EndpointPool& pool, const WorkSpec& work) {
    const auto placed = pool.Pick(work, now_);
    const bool full = placed->occupancy > work.full_occupancy;
    if (full && work.can_wait) {
      stream.next_step = now_ + kPollPeriod;
      if (!std::exchange(stream.waits, true)) pool.ChangeWaiting(service, 1);
      return;
    }
    if (std::exchange(stream.waits, false)) pool.ChangeWaiting(service, -1);
    if (full) {
      ++refused;
      return End(stream);
    }
    ++read;
    stream.runner = placed->endpoint.id;
    pool.Reserve(stream.runner, work.memory, false);
    stream.next_step = now_ + kPrefillTime;
  }

  void Exchange() {
    const auto since_start = now_.time_since_epoch();
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      const InstanceId id("e" + std::to_string(i));
      if (since_start % kBatchPeriod == Duration(0)) {
        const EndpointLoads placed = pools_[i]->TakePlaced();
        if (!placed.empty()) loads_.OnPlacements(id, placed, placed);
      }
      const Duration phase = kStep * static_cast<int>(i);
      if ((since_start + phase) % kReportPeriod != Duration(0)) continue;
      loads_.OnReport(id, pools_[i]->OwnLoads(), true);
      loads_.OnWaiting(id, pools_[i]->waiting());
      pools_[i]->SetOtherLoads(loads_.TotalWithout(id),
                               static_cast<int>(pools_.size()) - 1, now_);
      pools_[i]->SetOtherWaiting(loads_.WaitingWithout(id));
    }
    if (!loads_.IsDue(now_)) return;
    for (const PlacementBatch& batch : loads_.TakeBatches(now_)) {
      for (const InstanceId& receiver : batch.receivers) {
        const int entry = std::stoi(receiver.value().substr(1));
        pools_[entry]->AddOtherLoads(batch.placed, now_);
      }
    }
  }

  int runners_;
  double per_second_;
  Random random_{5};
  Time now_{Seconds(100)};
  std::vector<std::unique_ptr<EndpointPool>> pools_;
  /// One takes the place of kControls, each of which serves a part of the entry
  /// instances.
  SharedLoads loads_{
      {.max_messages_per_second =
           kControls * SharedLoadsOptions{}.max_messages_per_second}};
  std::vector<Stream> streams_;
  /// What the runners really hold.
  std::map<EndpointId, Tokens> held_;
};

}  // namespace

TEST_GROUP(PlacementContention){};

TEST(PlacementContention, FewPromptsAreReadForNothingWhenRunnersAreFull) {
  Burst burst(69, 60, 130);
  burst.RunFor(Seconds(15));
  CHECK_TRUE(burst.refused > 0);
  CHECK_TRUE(burst.answered > 500);
  CHECK_TRUE(burst.rejected <= kMaxWasted * burst.read);
}

// All instances saw the same empty runner, and each one that had a request
// waiting placed it there.
TEST(PlacementContention, ARunnerThatComesBackIsNotFilledBeyondItsMemory) {
  Burst burst(295, 53, 130);
  burst.RunFor(Seconds(10));
  const int read = burst.read;
  const int rejected = burst.rejected;
  for (int i = 0; i < 10; ++i) {
    burst.AddRunner();
    burst.RunFor(Seconds(1));
  }
  CHECK_TRUE(burst.read - read > 500);
  CHECK_TRUE(burst.rejected - rejected <= kMaxWasted * (burst.read - read));
}

}  // namespace cassiausher
