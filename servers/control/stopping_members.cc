#include "servers/control/stopping_members.h"

namespace cassiausher {
namespace {

// By then a process that has ended is silent for long enough to be lost.
constexpr Duration kAnnouncementLifetime = Seconds(10);

}  // namespace

void StoppingMembers::OnStopping(const ReplicaId& replica, Incarnation process,
                                 Time now) {
  announcements_[replica] = {process, now};
}

void StoppingMembers::OnProcess(const InstanceId& instance,
                                Incarnation process) {
  std::erase_if(announcements_, [&](const auto& item) {
    return item.first.instance == instance && item.second.process < process;
  });
}

void StoppingMembers::Expire(Time now) {
  std::erase_if(announcements_, [&](const auto& item) {
    return now - item.second.heard_at >= kAnnouncementLifetime;
  });
}

std::set<ReplicaId> StoppingMembers::replicas() const {
  std::set<ReplicaId> replicas;
  for (const auto& [replica, announcement] : announcements_) {
    replicas.insert(replica);
  }
  return replicas;
}

}  // namespace cassiausher
