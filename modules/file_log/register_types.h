// Registers the log storage on disk.
#ifndef MODULES_FILE_LOG_REGISTER_TYPES_H_
#define MODULES_FILE_LOG_REGISTER_TYPES_H_

namespace cassiausher {

/// Registers `file_log` in LogStorages(). Call once at startup.
void RegisterFileLog();

}  // namespace cassiausher

#endif  // MODULES_FILE_LOG_REGISTER_TYPES_H_
