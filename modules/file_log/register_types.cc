#include "modules/file_log/register_types.h"

#include <memory>
#include <string>

#include "modules/file_log/file_log.h"
#include "modules/file_log/posix_file_system.h"
#include "servers/consensus/log_storage.h"

namespace cassiausher {

void RegisterFileLog() {
  LogStorages().Register("file_log", [](const std::string& folder) {
    return std::make_unique<FileLog>(std::make_unique<PosixFileSystem>(folder));
  });
}

}  // namespace cassiausher
