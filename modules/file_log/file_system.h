// Interface of the file operations that the log on disk needs, within one
// directory without subdirectories. Tests implement it to inject disk faults.
#ifndef MODULES_FILE_LOG_FILE_SYSTEM_H_
#define MODULES_FILE_LOG_FILE_SYSTEM_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassiausher {

/// Names are file names without a directory. Not thread safe. Errors are
/// StorageError objects.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  /// Creates the directory if needed, makes its name durable and locks it
  /// against other processes.
  virtual boost::leaf::result<void> Open() = 0;
  /// Returns the file names in alphabetical order.
  virtual boost::leaf::result<std::vector<std::string>> List() = 0;
  virtual boost::leaf::result<std::string> Read(const std::string& name) = 0;
  /// Writes all bytes at `offset`; creates the file if needed. On failure any
  /// part of the bytes may have been written.
  virtual boost::leaf::result<void> Write(const std::string& name,
                                          std::uint64_t offset,
                                          std::string_view bytes) = 0;
  virtual boost::leaf::result<void> Truncate(const std::string& name,
                                             std::uint64_t size) = 0;
  virtual boost::leaf::result<void> SyncFile(const std::string& name) = 0;
  /// Makes creations, renames and removals durable.
  virtual boost::leaf::result<void> SyncFolder() = 0;
  /// Replaces `to` if it exists.
  virtual boost::leaf::result<void> Rename(const std::string& from,
                                           const std::string& to) = 0;
  /// Succeeds if the file does not exist.
  virtual boost::leaf::result<void> Remove(const std::string& name) = 0;
  /// Path of the file with its directory, for messages to operators.
  virtual std::string Path(const std::string& name) const = 0;
};

}  // namespace cassiausher

#endif  // MODULES_FILE_LOG_FILE_SYSTEM_H_
