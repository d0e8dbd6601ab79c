// Simulated deployment of Membership instances.
#include "tests/membership/cluster.h"

#include <chrono>

namespace cassiausher {

Cluster::Cluster(const std::vector<int>& sizes, std::uint64_t seed)
    : random(seed) {
  now = Time(Seconds(1000));
  int number = 0;
  for (std::size_t dc = 0; dc < sizes.size(); ++dc) {
    for (int i = 0; i < sizes[dc]; ++i, ++number) {
      const InstanceId id("instance-" + std::to_string(number));
      const std::string address = "127.0.0.1:" + std::to_string(20000 + number);
      Node& node = nodes[id];
      node.id = id;
      node.data_centre = DataCentreId("centre-" + std::to_string(dc));
      by_address_[address] = id;
      // The first instance of each data centre is a seed.
      if (i == 0) base_options.seeds.push_back({InstanceId(), address});
    }
  }
}

void Cluster::Start(const InstanceId& id) {
  Node& node = nodes.at(id);
  // A restart has a higher incarnation, like one from a clock in milliseconds.
  node.incarnation = std::max<std::uint64_t>(
      node.incarnation + 1, now.time_since_epoch().count() / 1000);
  MembershipOptions options = base_options;
  options.self = id;
  options.data_centre = node.data_centre;
  for (const auto& [address, owner] : by_address_) {
    if (owner == id) options.address = address;
  }
  options.incarnation = Incarnation(node.incarnation);
  options.random_seed = random.Below(1u << 30);
  node.membership = std::make_unique<Membership>(options, now);
  node.budget_level = 0;
  node.budget_at = now;
  node.paused_until = Time{};
  node.events.clear();
  Step(node, nullptr);
}

void Cluster::Crash(const InstanceId& id) {
  nodes.at(id).membership.reset();
  Schedule(nodes.at(id));
}

void Cluster::Leave(const InstanceId& id) {
  Node& node = nodes.at(id);
  node.membership->Leave(now);
  for (const MembershipSend& send : node.membership->TakeOutputs().messages) {
    Transmit(node, send);
  }
  Crash(id);
}

void Cluster::Pause(const InstanceId& id, Duration duration) {
  nodes.at(id).paused_until = now + duration;
  Schedule(nodes.at(id));
}

void Cluster::Schedule(Node& node) {
  const auto found = wakeup_by_instance_.find(node.id);
  if (found != wakeup_by_instance_.end()) {
    wakeups_.erase({found->second, node.id});
    wakeup_by_instance_.erase(found);
  }
  if (node.membership == nullptr) return;
  const Time due =
      std::max({node.membership->NextWakeup(), node.paused_until, now});
  if (due == Time::max()) return;
  wakeups_.insert({due, node.id});
  wakeup_by_instance_[node.id] = due;
}

void Cluster::Step(Node& node, const proto::MembershipMessage* message) {
  using Clock = std::chrono::steady_clock;
  const auto start = measure_cpu ? Clock::now() : Clock::time_point();
  if (message != nullptr) {
    node.membership->OnMessage(*message, now);
  } else {
    node.membership->Tick(now);
  }
  MembershipOutputs outputs = node.membership->TakeOutputs();
  if (measure_cpu) {
    node.cpu_seconds +=
        std::chrono::duration<double>(Clock::now() - start).count();
  }
  node.events.insert(node.events.end(), outputs.events.begin(),
                     outputs.events.end());
  for (const MembershipSend& send : outputs.messages) Transmit(node, send);
  if (on_step) on_step(node, outputs);
  Schedule(node);
}

void Cluster::Transmit(Node& from, const MembershipSend& send) {
  // Independent check of the byte budget: a leaky bucket that drains at
  // bytes_per_second must not exceed burst_bytes.
  const double rate = static_cast<double>(base_options.bytes_per_second);
  from.budget_level =
      std::max(0.0, from.budget_level - ToSeconds(now - from.budget_at) * rate);
  from.budget_at = now;
  from.budget_level += static_cast<double>(send.message.ByteSizeLong());
  if (from.budget_level > static_cast<double>(base_options.burst_bytes) + 1) {
    from.budget_exceeded = true;
  }
  if (send.message.ByteSizeLong() > base_options.message_bytes) {
    from.budget_exceeded = true;
  }
  InstanceId to = send.to;
  const auto found = by_address_.find(send.address);
  if (to.empty() && found != by_address_.end()) to = found->second;
  if (to.empty()) return;
  Deliver(from.id, to,
          [this, to, message = send.message] { Step(nodes.at(to), &message); });
}

void Cluster::Post(Time when, std::function<void()> task) {
  tasks_.emplace(std::max(when, now), std::move(task));
}

void Cluster::Deliver(const InstanceId& from, const InstanceId& to,
                      const std::function<void()>& receive) {
  if (network.cut.count({from, to}) > 0) return;
  if (random.Chance(network.loss_rate)) return;
  const int copies = random.Chance(network.duplicate_rate) ? 2 : 1;
  const auto delay_range =
      (network.delay_maximum - network.delay_minimum).count();
  for (int i = 0; i < copies; ++i) {
    const Duration delay =
        network.delay_minimum + Duration(random.Below(delay_range + 1));
    Post(now + delay, [this, to, receive] { Receive(to, receive); });
  }
}

void Cluster::Receive(const InstanceId& to,
                      const std::function<void()>& receive) {
  const Node& node = nodes.at(to);
  if (node.membership == nullptr) return;
  if (node.paused_until <= now) return receive();
  // A paused process receives its queued messages when it resumes.
  Post(node.paused_until, [this, to, receive] { Receive(to, receive); });
}

void Cluster::Run(Duration duration) {
  const Time end = now + std::max(duration, Duration(0));
  while (true) {
    const Time wakeup =
        wakeups_.empty() ? Time::max() : wakeups_.begin()->first;
    const Time task = tasks_.empty() ? Time::max() : tasks_.begin()->first;
    if (std::min(wakeup, task) > end) break;
    // At equal times the timer runs first, as it may when a process resumes.
    if (wakeup <= task) {
      now = std::max(now, wakeup);
      const InstanceId id = wakeups_.begin()->second;
      Step(nodes.at(id), nullptr);
      continue;
    }
    now = std::max(now, task);
    const std::function<void()> run = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    run();
  }
  now = end;
}

void Cluster::Cut(const std::set<InstanceId>& from,
                  const std::set<InstanceId>& to, bool both) {
  for (const InstanceId& a : from) {
    for (const InstanceId& b : to) {
      network.cut.insert({a, b});
      if (both) network.cut.insert({b, a});
    }
  }
}

std::set<InstanceId> Cluster::InstancesIn(
    const DataCentreId& data_centre) const {
  std::set<InstanceId> ids;
  for (const auto& [id, node] : nodes) {
    if (node.data_centre == data_centre) ids.insert(id);
  }
  return ids;
}

bool Cluster::Converged() const {
  std::size_t running = 0;
  for (const auto& [id, node] : nodes) running += node.membership != nullptr;
  for (const auto& [id, node] : nodes) {
    if (node.membership == nullptr) continue;
    std::size_t seen = 0;
    for (const MemberRow& row : node.membership->Members()) {
      if (row.state != MemberState::kAlive) continue;
      if (nodes.at(row.id).membership == nullptr) return false;
      if (!row.data_centre_reachable) return false;
      ++seen;
    }
    if (seen != running) return false;
  }
  return true;
}

MemberState Cluster::StateAt(const InstanceId& observer,
                             const InstanceId& member) {
  for (const MemberRow& row : At(observer).Members()) {
    if (row.id == member) return row.state;
  }
  return MemberState::kLeft;
}

}  // namespace cassiausher
