// Guards against entry instances that together exceed the limit of an endpoint,
// and against a limit that lies idle while callers are refused (incident
// server-limit). Virtual time; the issuer and any number of entry instances
// exchange messages that take some milliseconds.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/random.h"
#include "servers/control/permit_issuer.h"
#include "servers/entry/permit_holder.h"

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(1000)};
constexpr Duration kStep = Milliseconds(1);
constexpr Duration kMessageTime = Milliseconds(3);
constexpr Duration kWindow = Seconds(4);
constexpr double kAllowedFactor = 1.5;
constexpr int kAllowedRequests = 5;
constexpr double kUsedShare = 0.5;
const EndpointId endpoint_id("e");

// Entry instances with unequal shares of the requests for one limited endpoint.
class Sharing {
 public:
  Sharing(int instances, RequestRate limit, double demand, std::uint64_t seed)
      : limit_(limit), demand_(demand), random_(seed) {
    issuer_ = std::make_unique<PermitIssuer>(PermitIssuerOptions{});
    instances_.resize(static_cast<std::size_t>(instances));
    for (int i = 0; i < instances; ++i) {
      Restart(i);
      weights_.push_back(1.0 / (1 + i));
    }
    instance_of_ =
        std::discrete_distribution<int>(weights_.begin(), weights_.end());
  }

  void SetLimit(RequestRate limit) {
    limit_ = limit;
    for (const auto& instance : instances_) instance->Observe(limit, now_);
  }
  // A process that has just started knows the limit from its first update.
  void Restart(int index) {
    auto& instance = instances_[index];
    instance = std::make_unique<Instance>(random_.Below(1000000));
    instance->holder.SetEntryInstances(
        static_cast<std::uint32_t>(instances_.size()));
    instance->Observe(limit_, now_);
    SetIssuer(index, issuer_name_);
  }
  void SetIssuer(int index, const InstanceId& name) {
    instances_[index]->holder.SetIssuer(name, now_);
  }
  // The leader is lost: nobody answers.
  void LoseIssuer() { issuer_.reset(); }
  void BeginIssuer() {
    issuer_ = std::make_unique<PermitIssuer>(PermitIssuerOptions{});
    issuer_->Begin(now_);
    issuer_name_ = InstanceId(issuer_name_.value() + "x");
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      SetIssuer(static_cast<int>(i), issuer_name_);
    }
  }

  void Run(Duration length) {
    const Time end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      Deliver();
      double expected = demand_ * ToSeconds(kStep);
      while (expected > 0 && random_.Chance(std::min(1.0, expected))) {
        Request(*instances_[instance_of_(random_.engine())]);
        expected -= 1;
      }
      for (auto& instance : instances_) {
        instance->holder.CheckTimeouts(now_);
        Settle(*instance);
      }
    }
  }

  int MostInAWindow(Time from) const {
    int most = 0;
    for (auto it = calls_.begin(); it != calls_.end(); ++it) {
      if (*it < from) continue;
      const auto last = std::upper_bound(it, calls_.end(), *it + kWindow);
      most = std::max(most, static_cast<int>(last - it));
    }
    return most;
  }
  double CallsPerSecond(Time from, Time to) const {
    const auto count =
        std::count_if(calls_.begin(), calls_.end(),
                      [&](Time at) { return at >= from && at < to; });
    return static_cast<double>(count) / ToSeconds(to - from);
  }
  double Bound() const {
    return kAllowedFactor * limit_.value() * ToSeconds(kWindow) +
           kAllowedRequests;
  }
  Time now() const { return now_; }
  int refused() const { return refused_; }
  int messages() const { return messages_; }

 private:
  struct Instance {
    explicit Instance(std::uint64_t seed)
        : holder({.random_seed = seed}, &limits) {}
    void Observe(RequestRate limit, Time now) {
      limits.Observe(
          {.endpoint = endpoint_id, .limit = limit, .observed_at = now});
    }
    RateLimits limits;
    PermitHolder holder;
  };
  struct Message {
    Time at{};
    std::function<void()> deliver;
  };

  void Request(Instance& instance) {
    const PermitResult result = instance.holder.Take(endpoint_id, now_);
    if (result.state == PermitState::kGranted) calls_.push_back(now_);
    if (result.state == PermitState::kRefused) ++refused_;
  }

  void Settle(Instance& instance) {
    for (const PermitAsk& ask : instance.holder.TakeAsks(now_)) {
      ++messages_;
      const InstanceId asked = instance.holder.issuer();
      Send([this, &instance, ask, asked] { Answer(instance, ask, asked); });
    }
    for (const PermitOutcome& outcome : instance.holder.TakeOutcomes()) {
      if (outcome.permit.has_value()) {
        calls_.push_back(now_);
      } else {
        ++refused_;
      }
    }
  }

  void Answer(Instance& instance, const PermitAsk& ask,
              const InstanceId& asked) {
    if (issuer_ == nullptr || asked != issuer_name_) return;
    // The address of the holder stands for the name of its instance.
    const InstanceId name(
        std::to_string(reinterpret_cast<std::uintptr_t>(&instance)));  // NOLINT
    const PermitGrant grant =
        issuer_->Grant(name, endpoint_id, limit_, ask.calls, now_);
    Send([this, &instance, ask, grant, asked] {
      instance.holder.OnReply(asked,
                              {.number = ask.number,
                               .endpoint = endpoint_id,
                               .granted = grant.granted,
                               .retry_after = grant.retry_after},
                              now_);
      Settle(instance);
    });
  }

  void Send(std::function<void()> deliver) {
    messages_in_transit_.push_back({now_ + kMessageTime, std::move(deliver)});
  }
  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_in_transit_, [&](Message& message) {
      if (message.at > now_) return false;
      due.push_back(std::move(message));
      return true;
    });
    for (const Message& message : due) message.deliver();
  }

  RequestRate limit_;
  // Requests a second, over all instances.
  double demand_;
  Random random_;
  Time now_ = kStart;
  InstanceId issuer_name_{"control"};
  std::unique_ptr<PermitIssuer> issuer_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<double> weights_;
  std::discrete_distribution<int> instance_of_;
  std::vector<Message> messages_in_transit_;
  std::vector<Time> calls_;
  int refused_ = 0;
  int messages_ = 0;
};

void CheckUse(const Sharing& sharing, RequestRate limit, Time from, Time to) {
  CHECK_TRUE(sharing.CallsPerSecond(from, to) >= kUsedShare * limit.value());
}

}  // namespace

TEST_GROUP(PermitSharing){};

TEST(PermitSharing, OneLimitHoldsForAllInstancesAndIsUsed) {
  for (const int instances : {6, 74, 300}) {
    for (const double limit : {0.5, 2.6, 6.1, 60.0}) {
      // Three times as many requests as there is room for, mostly at a few
      // instances.
      Sharing sharing(instances, RequestRate(limit), 3 * limit, 7);
      sharing.Run(Seconds(30));
      CHECK_TRUE(sharing.MostInAWindow(kStart) <= sharing.Bound());
      CheckUse(sharing, RequestRate(limit), kStart + Seconds(2), sharing.now());
    }
  }
}

TEST(PermitSharing, AFewRequestsWithinTheLimitAreHardlyRefused) {
  Sharing sharing(74, RequestRate(10), 5, 3);
  sharing.Run(Seconds(60));
  // A tenth of some 300 requests.
  CHECK_TRUE(sharing.refused() <= 30);
}

TEST(PermitSharing, MessagesAreBoundedUnderOverload) {
  Sharing sharing(300, RequestRate(6), 600, 5);
  sharing.Run(Seconds(10));
  const double granted = sharing.CallsPerSecond(kStart, sharing.now());
  const double bound = PermitIssuerOptions{}.refusals_per_second + granted;
  // Each instance asks once before it is told to pause.
  CHECK_TRUE(sharing.messages() <= 1.3 * bound * 10 + 300);
  CheckUse(sharing, RequestRate(6), kStart + Seconds(2), sharing.now());
}

TEST(PermitSharing, TheLimitHoldsWhileTheIssuerIsReplaced) {
  for (const int instances : {6, 74, 300}) {
    const RequestRate limit(6);
    Sharing sharing(instances, limit, 60, 11);
    for (int i = 0; i < 6; ++i) {
      sharing.Run(Seconds(3));
      sharing.LoseIssuer();
      sharing.Run(Seconds(1 + i % 3));
      sharing.BeginIssuer();
    }
    CHECK_TRUE(sharing.MostInAWindow(kStart) <= sharing.Bound());
    CheckUse(sharing, limit, kStart + Seconds(2), sharing.now());
  }
}

TEST(PermitSharing, InstancesThatAreCutOffKeepToTheirShare) {
  const RequestRate limit(6);
  Sharing sharing(74, limit, 60, 13);
  sharing.Run(Seconds(3));
  for (int i = 0; i < 74; i += 2) sharing.SetIssuer(i, InstanceId());
  sharing.Run(Seconds(20));
  CHECK_TRUE(sharing.MostInAWindow(kStart) <= sharing.Bound());
  CheckUse(sharing, limit, kStart + Seconds(5), sharing.now());
}

TEST(PermitSharing, InstancesThatRestartBringNoPermitsWithThem) {
  Sharing sharing(74, RequestRate(6), 60, 17);
  for (int i = 0; i < 60; ++i) {
    sharing.Run(Milliseconds(250));
    sharing.Restart(i);
  }
  CHECK_TRUE(sharing.MostInAWindow(kStart) <= sharing.Bound());
}

TEST(PermitSharing, ALowerLimitHoldsAtOnceAndAHigherOneIsUsed) {
  Sharing sharing(74, RequestRate(40), 200, 19);
  sharing.Run(Seconds(5));
  sharing.SetLimit(RequestRate(3));
  const Time lowered = sharing.now();
  sharing.Run(Seconds(10));
  CHECK_TRUE(sharing.MostInAWindow(lowered + Milliseconds(500)) <=
             sharing.Bound());
  sharing.SetLimit(RequestRate(40));
  const Time raised = sharing.now();
  sharing.Run(Seconds(10));
  CheckUse(sharing, RequestRate(40), raised + Seconds(1), sharing.now());
}

}  // namespace cassiausher
