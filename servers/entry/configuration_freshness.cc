#include "servers/entry/configuration_freshness.h"

#include <cstddef>

namespace cassiausher {
namespace {

// Further versions count from the time of the last one recorded.
constexpr std::size_t kMaxMissing = 256;

}  // namespace

bool ConfigurationFreshness::OnNotice(Revision version,
                                      std::optional<Time> confirmed_at,
                                      Time now) {
  if (!newest_.Learn(version, confirmed_at)) return false;
  if (version <= applied_) return true;
  if (missing_.size() < kMaxMissing) {
    missing_.push_back({version, now});
  } else {
    missing_.back().version = version;
  }
  return true;
}

void ConfigurationFreshness::OnApplied(Revision version) {
  const bool is_first = applied_ == Revision(0);
  applied_ = version;
  newest_.Learn(version, std::nullopt);
  while (!missing_.empty() && missing_.front().version <= version) {
    missing_.pop_front();
  }
  // The grace period is for changes that arrive while requests are served. An
  // instance that starts serves nothing by a configuration known to be older.
  first_was_outdated_ = is_first && !missing_.empty();
}

bool ConfigurationFreshness::MayBeOutdated(Time now) const {
  if (!missing_.empty()) return true;
  return !newest_.ConfirmedWithin(options_.confirmation_lifetime, now);
}

bool ConfigurationFreshness::IsOverdue(Time now) const {
  if (missing_.empty()) return false;
  // Out of touch, the instance goes on serving what it can.
  if (!newest_.ConfirmedWithin(options_.confirmation_lifetime, now)) {
    return false;
  }
  return first_was_outdated_ ||
         now - missing_.front().known_at >= options_.grace;
}

}  // namespace cassiausher
