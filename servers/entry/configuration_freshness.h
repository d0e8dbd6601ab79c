// Whether the configuration that an entry instance applies may be older than
// the newest confirmed one.
//
// An acknowledged change belongs to the whole deployment. An instance that
// hasn't received it yet must know that it is missing, instead of answering as
// if its own configuration were the newest.
#ifndef SERVERS_ENTRY_CONFIGURATION_FRESHNESS_H_
#define SERVERS_ENTRY_CONFIGURATION_FRESHNESS_H_

#include <deque>
#include <optional>

#include "core/time.h"
#include "core/units.h"
#include "servers/control/newest_version.h"

namespace cassiausher {

struct ConfigurationFreshnessOptions {
  /// A confirmation that no newer version exists holds for this long. Shorter
  /// than the time within which a change must be in force everywhere (2 s).
  Duration confirmation_lifetime = Milliseconds(1800);
  /// Requests are still served by the older configuration for this long after a
  /// newer version became known.
  Duration grace = Milliseconds(1200);
};

/// Not thread safe.
class ConfigurationFreshness {
 public:
  explicit ConfigurationFreshness(ConfigurationFreshnessOptions options)
      : options_(options) {}

  /// A control instance stated that `version` is committed, and nothing above
  /// it by `confirmed_at`. Returns whether the version is higher than known.
  bool OnNotice(Revision version, std::optional<Time> confirmed_at, Time now);
  void OnApplied(Revision version);

  Revision newest() const { return newest_.version(); }
  /// A newer version is known, or none was ruled out recently. A request that
  /// the configuration doesn't allow must not be rejected for good.
  bool MayBeOutdated(Time now) const;
  /// This instance is in touch, and a newer version has been known for longer
  /// than the grace period. Requests must not be served by the older one.
  bool IsOverdue(Time now) const;

 private:
  /// A version that isn't applied yet, and when it became known.
  struct Missing {
    Revision version{0};
    Time known_at{};
  };

  ConfigurationFreshnessOptions options_;
  NewestVersion newest_;
  Revision applied_{0};
  /// Ascending by version and time, all above `applied_`; bounded.
  std::deque<Missing> missing_;
  /// The configuration in use is the first of this process, and a newer one was
  /// known when it was applied.
  bool first_was_outdated_ = false;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_CONFIGURATION_FRESHNESS_H_
