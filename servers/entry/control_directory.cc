#include "servers/entry/control_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/hash.h"

namespace cassiausher {

void ControlDirectory::Learn(const InstanceId& control, Time now) {
  controls_[control].last_known_at = now;
}

bool ControlDirectory::OnUpdate(const InstanceId& from,
                                const ControlStatus& status, Time now) {
  Control& control = controls_[from];
  control.last_update_at = now;
  control.last_known_at = now;
  control.process = status.process;
  control.registry_revision = status.registry_revision;
  control.last_received = status.number;
  control.entry_instances = status.entry_instances;
  control.permit_term = status.permit_term;
  control.data_centre = status.data_centre;
  control.keeps_origins = status.keeps_origins;
  const auto answered = control.unanswered_follows.find(status.follow_number);
  if (answered != control.unanswered_follows.end()) {
    control.current_as_of = answered->second;
    control.unanswered_follows.erase(control.unanswered_follows.begin(),
                                     std::next(answered));
  }
  return !std::exchange(control.connected, true);
}

std::uint64_t ControlDirectory::OnFollow(const InstanceId& to, Time now) {
  constexpr std::size_t kMaxUnanswered = 16;
  auto& unanswered = controls_[to].unanswered_follows;
  if (unanswered.size() >= kMaxUnanswered) unanswered.erase(unanswered.begin());
  unanswered[++follows_] = now;
  return follows_;
}

bool ControlDirectory::IsCurrentSince(Time since) const {
  const auto current = std::count_if(
      controls_.begin(), controls_.end(),
      [&](const auto& item) { return item.second.current_as_of >= since; });
  return 2 * static_cast<std::size_t>(current) > controls_.size();
}

void ControlDirectory::OnMessage(const InstanceId& from, Incarnation process,
                                 std::uint64_t number,
                                 std::uint64_t permit_term) {
  const auto found = controls_.find(from);
  // The number counts the messages of one process.
  const bool same_process =
      found != controls_.end() && found->second.process == process;
  if (!same_process) return;
  found->second.last_received = number;
  found->second.permit_term = permit_term;
}

std::vector<InstanceId> ControlDirectory::Expire(Time now) {
  std::vector<InstanceId> dropped;
  std::erase_if(controls_, [&](const auto& item) {
    if (now - item.second.last_known_at < options_.lifetime) return false;
    dropped.push_back(item.first);
    return true;
  });
  return dropped;
}

std::vector<InstanceId> ControlDirectory::Disconnect(Time now) {
  std::vector<InstanceId> silent;
  for (auto& [instance, control] : controls_) {
    const bool recent = now - control.last_update_at < options_.update_timeout;
    if (!control.connected || recent) continue;
    control.connected = false;
    silent.push_back(instance);
  }
  return silent;
}

// Rendezvous hashing: each entry instance ranks the control instances in its
// own order and keeps its choice while other control instances come and go.
std::vector<InstanceId> ControlDirectory::Preferred(std::size_t count) const {
  std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
  for (const InstanceId& instance : Connected()) {
    ranked.emplace_back(
        HashText(instance.value(), HashText(options_.self.value(), 0)),
        instance);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<InstanceId> preferred;
  for (const auto& [rank, instance] : ranked) {
    if (preferred.size() >= count) break;
    preferred.push_back(instance);
  }
  return preferred;
}

InstanceId ControlDirectory::LoadSource(Time now) const {
  const std::vector<InstanceId> preferred = Preferred(controls_.size());
  if (preferred.empty()) return InstanceId();
  const auto is_recent = [&](const InstanceId& instance) {
    return now - controls_.at(instance).last_update_at < options_.load_timeout;
  };
  const auto recent =
      std::find_if(preferred.begin(), preferred.end(), is_recent);
  return recent == preferred.end() ? preferred.front() : *recent;
}

std::vector<InstanceId> ControlDirectory::EvidencePartners() const {
  return Preferred(options_.evidence_partners);
}

InstanceId ControlDirectory::PermitIssuer() const {
  InstanceId issuer;
  std::uint64_t latest = 0;
  for (const auto& [instance, control] : controls_) {
    if (!control.connected || control.permit_term <= latest) continue;
    issuer = instance;
    latest = control.permit_term;
  }
  return issuer;
}

std::uint32_t ControlDirectory::EntryInstances() const {
  std::uint32_t count = options_.min_entry_instances;
  for (const auto& [instance, control] : controls_) {
    count = std::max(count, control.entry_instances);
  }
  return count;
}

std::vector<InstanceId> ControlDirectory::Connected() const {
  std::vector<InstanceId> connected;
  for (const auto& [instance, control] : controls_) {
    if (control.connected) connected.push_back(instance);
  }
  return connected;
}

}  // namespace cassiausher
