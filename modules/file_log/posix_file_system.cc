#include "modules/file_log/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include "servers/consensus/log_storage.h"

namespace cassiausher {

namespace {

constexpr char kLockFileName[] = "lock";
constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadChunkBytes = 1024 * 1024;

StorageError SystemError(const std::string& file, std::uint64_t offset,
                         const char* call, int error) {
  // EFBIG: the limit of file sizes.
  const bool no_space = error == ENOSPC || error == EDQUOT || error == EFBIG;
  return {no_space ? StorageError::Code::kNoSpace
                   : StorageError::Code::kInputOutput,
          file, offset, std::string(call) + ": " + std::strerror(error)};
}

boost::leaf::result<void> SyncFolderAt(const std::string& path) {
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return boost::leaf::new_error(SystemError(path, 0, "open", errno));
  }
  const int outcome = ::fsync(folder);
  const int error = errno;
  ::close(folder);
  if (outcome != 0) {
    return boost::leaf::new_error(SystemError(path, 0, "fsync", error));
  }
  return {};
}

}  // namespace

PosixFileSystem::PosixFileSystem(std::string folder)
    : folder_(std::move(folder)) {}

PosixFileSystem::~PosixFileSystem() {
  CloseDescriptor();
  if (lock_ >= 0) ::close(lock_);
}

std::string PosixFileSystem::Path(const std::string& name) const {
  return folder_ + "/" + name;
}

boost::leaf::result<void> PosixFileSystem::Open() {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (error) {
    return boost::leaf::new_error(
        SystemError(folder_, 0, "mkdir", error.value()));
  }
  BOOST_LEAF_CHECK(SyncParents());
  const std::string path = Path(kLockFileName);
  lock_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_ < 0) {
    return boost::leaf::new_error(SystemError(path, 0, "open", errno));
  }
  // Two processes that use the same directory could vote twice in a term.
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    return boost::leaf::new_error(
        StorageError{StorageError::Code::kInputOutput, path, 0,
                     "the folder is in use by another process"});
  }
  return {};
}

boost::leaf::result<void> PosixFileSystem::SyncParents() {
  std::error_code error;
  std::filesystem::path path = std::filesystem::canonical(folder_, error);
  if (error) {
    return boost::leaf::new_error(
        SystemError(folder_, 0, "realpath", error.value()));
  }
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) {
    return boost::leaf::new_error(SystemError(folder_, 0, "stat", errno));
  }
  const dev_t device = status.st_dev;
  while (path.has_relative_path()) {
    path = path.parent_path();
    if (::stat(path.c_str(), &status) != 0) return {};
    if (status.st_dev != device) return {};
    // A folder that can't be written to was not created by this user.
    if (::access(path.c_str(), R_OK | W_OK) != 0) return {};
    BOOST_LEAF_CHECK(SyncFolderAt(path.string()));
  }
  return {};
}

boost::leaf::result<std::vector<std::string>> PosixFileSystem::List() {
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator item(folder_, error);
  for (; !error && item != std::filesystem::directory_iterator();
       item.increment(error)) {
    const std::string name = item->path().filename().string();
    if (name != kLockFileName) names.push_back(name);
  }
  if (error) {
    return boost::leaf::new_error(
        SystemError(folder_, 0, "readdir", error.value()));
  }
  std::ranges::sort(names);
  return names;
}

boost::leaf::result<std::string> PosixFileSystem::Read(
    const std::string& name) {
  const std::string path = Path(name);
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return boost::leaf::new_error(SystemError(path, 0, "open", errno));
  }
  std::string content;
  while (true) {
    const std::size_t size = content.size();
    content.resize(size + kReadChunkBytes);
    const ssize_t count = ::read(file, content.data() + size, kReadChunkBytes);
    const int error = errno;
    content.resize(size +
                   static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    if (count == 0) break;
    if (count < 0 && error == EINTR) continue;
    if (count < 0) {
      ::close(file);
      return boost::leaf::new_error(SystemError(path, size, "read", error));
    }
  }
  ::close(file);
  return content;
}

void PosixFileSystem::CloseDescriptor() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
  descriptor_name_.clear();
}

boost::leaf::result<int> PosixFileSystem::Descriptor(const std::string& name) {
  if (descriptor_ >= 0 && descriptor_name_ == name) return descriptor_;
  CloseDescriptor();
  const std::string path = Path(name);
  const int file =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return boost::leaf::new_error(SystemError(path, 0, "open", errno));
  }
  descriptor_ = file;
  descriptor_name_ = name;
  return file;
}

boost::leaf::result<void> PosixFileSystem::Write(const std::string& name,
                                                 std::uint64_t offset,
                                                 std::string_view bytes) {
  BOOST_LEAF_AUTO(file, Descriptor(name));
  while (!bytes.empty()) {
    const ssize_t count =
        ::pwrite(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      return boost::leaf::new_error(
          SystemError(Path(name), offset, "write", errno));
    }
    offset += static_cast<std::uint64_t>(count);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return {};
}

boost::leaf::result<void> PosixFileSystem::Truncate(const std::string& name,
                                                    std::uint64_t size) {
  BOOST_LEAF_AUTO(file, Descriptor(name));
  if (::ftruncate(file, static_cast<off_t>(size)) != 0) {
    return boost::leaf::new_error(
        SystemError(Path(name), size, "ftruncate", errno));
  }
  return {};
}

boost::leaf::result<void> PosixFileSystem::SyncFile(const std::string& name) {
  BOOST_LEAF_AUTO(file, Descriptor(name));
  if (::fdatasync(file) != 0) {
    return boost::leaf::new_error(
        SystemError(Path(name), 0, "fdatasync", errno));
  }
  return {};
}

boost::leaf::result<void> PosixFileSystem::SyncFolder() {
  return SyncFolderAt(folder_);
}

boost::leaf::result<void> PosixFileSystem::Rename(const std::string& from,
                                                  const std::string& to) {
  CloseDescriptor();
  if (::rename(Path(from).c_str(), Path(to).c_str()) != 0) {
    return boost::leaf::new_error(SystemError(Path(to), 0, "rename", errno));
  }
  return {};
}

boost::leaf::result<void> PosixFileSystem::Remove(const std::string& name) {
  if (descriptor_name_ == name) CloseDescriptor();
  if (::unlink(Path(name).c_str()) != 0 && errno != ENOENT) {
    return boost::leaf::new_error(SystemError(Path(name), 0, "unlink", errno));
  }
  return {};
}

}  // namespace cassiausher
