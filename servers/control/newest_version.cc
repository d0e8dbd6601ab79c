#include "servers/control/newest_version.h"

#include <algorithm>

namespace cassiausher {

bool NewestVersion::Learn(Revision version, std::optional<Time> confirmed_at) {
  // A statement about a lower version comes from an instance that is behind; it
  // can't confirm the version known here.
  if (version < version_) return false;
  const bool higher = version > version_;
  version_ = version;
  if (confirmed_at.has_value()) {
    confirmed_at_ =
        std::max(confirmed_at_.value_or(*confirmed_at), *confirmed_at);
  }
  return higher;
}

bool NewestVersion::ConfirmedWithin(Duration age, Time now) const {
  return confirmed_at_.has_value() && now - *confirmed_at_ <= age;
}

}  // namespace cassiausher
