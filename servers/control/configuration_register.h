// The replicated state of the control instances: the configuration with the
// highest version. A state machine that the replicated log drives.
#ifndef SERVERS_CONTROL_CONFIGURATION_REGISTER_H_
#define SERVERS_CONTROL_CONFIGURATION_REGISTER_H_

#include <string>
#include <string_view>

#include "core/units.h"

namespace cassiausher {

/// An operator's document as it was sent, and the version that it carries.
struct VersionedDocument {
  Revision version{0};
  std::string document;

  bool operator==(const VersionedDocument&) const = default;
};

/// Byte form for log entries, snapshots and messages.
std::string Encode(const VersionedDocument& document);
/// False if the bytes are malformed.
bool Decode(std::string_view bytes, VersionedDocument* document);

/// Invariant: the version never decreases, and the document of a version never
/// changes.
class ConfigurationRegister {
 public:
  /// Takes the document if its version is higher than the one held. Returns
  /// whether it was taken.
  bool Apply(VersionedDocument document);

  /// Version 0 until the first document.
  const VersionedDocument& current() const { return current_; }

 private:
  VersionedDocument current_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_CONFIGURATION_REGISTER_H_
