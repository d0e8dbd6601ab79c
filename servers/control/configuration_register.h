// State machine that control instances replicate by Raft. Its state is the
// serving configuration with the highest version.
#ifndef SERVERS_CONTROL_CONFIGURATION_REGISTER_H_
#define SERVERS_CONTROL_CONFIGURATION_REGISTER_H_

#include <string>

#include "core/units.h"

namespace cassiausher {

/// A configuration document as the operator submitted it, and its version.
struct VersionedDocument {
  Revision version{0};
  std::string document;

  bool operator==(const VersionedDocument&) const = default;
};

/// Invariant: the version never decreases, and the document of a version never
/// changes.
class ConfigurationRegister {
 public:
  /// Replaces the current document if the new version is higher. Returns
  /// whether it did.
  bool Apply(VersionedDocument document);

  /// Has version 0 until the first document is applied.
  const VersionedDocument& current() const { return current_; }

 private:
  VersionedDocument current_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_CONFIGURATION_REGISTER_H_
