// What one instance knows of the newest confirmed configuration, gathered from
// the statements of others.
#ifndef SERVERS_CONTROL_NEWEST_VERSION_H_
#define SERVERS_CONTROL_NEWEST_VERSION_H_

#include <optional>

#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

class NewestVersion {
 public:
  /// Takes in the statement that `version` is committed and, if `confirmed_at`
  /// is set, that no higher version was committed by then. Returns whether the
  /// version is higher than known.
  bool Learn(Revision version, std::optional<Time> confirmed_at);

  /// Highest version known to be committed; 0 for none.
  Revision version() const { return version_; }
  /// Latest time at which a leader with a quorum was known to have committed
  /// nothing above version(). Empty if that was never heard.
  std::optional<Time> confirmed_at() const { return confirmed_at_; }
  bool ConfirmedWithin(Duration age, Time now) const;

 private:
  Revision version_{0};
  std::optional<Time> confirmed_at_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_NEWEST_VERSION_H_
