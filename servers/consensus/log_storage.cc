// Registry of the log storage implementations.
#include "servers/consensus/log_storage.h"

#include <fmt/format.h>

namespace cassiausher {

std::string ToString(const StorageError& error) {
  return fmt::format("{} at offset {}: {}", error.file, error.offset,
                     error.message);
}

LogStorageRegistry& LogStorages() {
  static LogStorageRegistry registry;
  return registry;
}

}  // namespace cassiausher
