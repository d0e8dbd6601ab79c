#include "servers/control/configuration_register.h"

#include <utility>

namespace cassiausher {

bool ConfigurationRegister::Apply(VersionedDocument document) {
  if (document.version <= current_.version) return false;
  current_ = std::move(document);
  return true;
}

}  // namespace cassiausher
