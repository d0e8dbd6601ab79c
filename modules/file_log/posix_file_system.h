// FileSystem implementation with POSIX system calls.
#ifndef MODULES_FILE_LOG_POSIX_FILE_SYSTEM_H_
#define MODULES_FILE_LOG_POSIX_FILE_SYSTEM_H_

#include <string>
#include <vector>

#include "modules/file_log/file_system.h"

namespace cassiausher {

/// Holds a lock on the directory from Open() until destruction.
class PosixFileSystem : public FileSystem {
 public:
  explicit PosixFileSystem(std::string folder);
  ~PosixFileSystem() override;
  PosixFileSystem(const PosixFileSystem&) = delete;
  PosixFileSystem& operator=(const PosixFileSystem&) = delete;

  boost::leaf::result<void> Open() override;
  boost::leaf::result<std::vector<std::string>> List() override;
  boost::leaf::result<std::string> Read(const std::string& name) override;
  boost::leaf::result<void> Write(const std::string& name, std::uint64_t offset,
                                  std::string_view bytes) override;
  boost::leaf::result<void> Truncate(const std::string& name,
                                     std::uint64_t size) override;
  boost::leaf::result<void> SyncFile(const std::string& name) override;
  boost::leaf::result<void> SyncFolder() override;
  boost::leaf::result<void> Rename(const std::string& from,
                                   const std::string& to) override;
  boost::leaf::result<void> Remove(const std::string& name) override;
  std::string Path(const std::string& name) const override;

 private:
  /// Makes the folder's own name and those of its parents durable, up to the
  /// first one that this user can't change or that is on another device.
  boost::leaf::result<void> SyncParents();
  /// Opens or creates the file. The descriptor stays open until another file is
  /// used, so that consecutive writes to one file don't reopen it.
  boost::leaf::result<int> Descriptor(const std::string& name);
  void CloseDescriptor();

  std::string folder_;
  /// Descriptor of the lock file, or -1.
  int lock_ = -1;
  /// Descriptor of the file `descriptor_name_`, or -1.
  int descriptor_ = -1;
  std::string descriptor_name_;
};

}  // namespace cassiausher

#endif  // MODULES_FILE_LOG_POSIX_FILE_SYSTEM_H_
