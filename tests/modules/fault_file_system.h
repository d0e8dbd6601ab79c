// In-memory file system with fault injection: a crash loses unsynced writes
// wholly or in part, the disk runs full, syncs fail.
#ifndef TESTS_MODULES_FAULT_FILE_SYSTEM_H_
#define TESTS_MODULES_FAULT_FILE_SYSTEM_H_

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "modules/file_log/file_system.h"
#include "servers/consensus/log_storage.h"

namespace cassiausher {

/// Files of a simulated disk. Must outlive the FileSystem objects that use it.
class FaultDisk {
 public:
  struct File {
    std::string synced;
    std::string current;
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;

  Folder current;
  /// Directory content at the last SyncFolder().
  Folder synced;
  /// Free space in bytes.
  std::uint64_t space = std::numeric_limits<std::uint64_t>::max();
  /// Number of syncs that succeed before all further ones fail.
  std::uint64_t syncs_left = std::numeric_limits<std::uint64_t>::max();

  /// Simulates a crash that loses unsynced data. Of each file, the unsynced
  /// appended bytes after a random point are truncated or become zeros, or all
  /// unsynced changes are lost. The directory loses either all its unsynced
  /// changes or none.
  void Crash(Random& random) {
    if (random.Chance(0.5)) current = synced;
    synced = current;
    for (auto& [name, file] : current) {
      if (file->current == file->synced) continue;
      if (random.Chance(0.3) || !file->current.starts_with(file->synced)) {
        file->current = file->synced;
      } else {
        const std::uint64_t added = file->current.size() - file->synced.size();
        const std::uint64_t lost = random.Below(added + 1);
        const std::size_t kept = file->current.size() - lost;
        if (random.Chance(0.5)) {
          std::fill(file->current.begin() + static_cast<std::ptrdiff_t>(kept),
                    file->current.end(), '\0');
        } else {
          file->current.resize(kept);
        }
      }
      file->synced = file->current;
    }
  }

  std::uint64_t UsedBytes() const {
    std::uint64_t bytes = 0;
    for (const auto& [name, file] : current) bytes += file->current.size();
    return bytes;
  }

  /// Returns a deep copy whose directory content counts as synced.
  FaultDisk Copy() const {
    FaultDisk copy = *this;
    copy.current.clear();
    for (const auto& [name, file] : current) {
      copy.current[name] = std::make_shared<File>(*file);
    }
    copy.synced = copy.current;
    return copy;
  }
};

/// FileSystem on a FaultDisk, with the faults that are set in it.
class FaultFileSystem : public FileSystem {
 public:
  explicit FaultFileSystem(FaultDisk& disk) : disk_(disk) {}

  boost::leaf::result<void> Open() override { return {}; }
  boost::leaf::result<std::vector<std::string>> List() override {
    std::vector<std::string> names;
    for (const auto& [name, file] : disk_.current) names.push_back(name);
    return names;
  }
  boost::leaf::result<std::string> Read(const std::string& name) override {
    const auto found = disk_.current.find(name);
    if (found == disk_.current.end()) return Fail(name, "no such file");
    return found->second->current;
  }
  boost::leaf::result<void> Write(const std::string& name, std::uint64_t offset,
                                  std::string_view bytes) override {
    auto& file = disk_.current[name];
    if (!file) file = std::make_shared<FaultDisk::File>();
    std::string& content = file->current;
    if (content.size() < offset) content.resize(offset, '\0');
    const std::uint64_t overwritten =
        std::min<std::uint64_t>(content.size() - offset, bytes.size());
    const std::uint64_t added = bytes.size() - overwritten;
    const std::uint64_t possible = std::min(added, disk_.space);
    const auto part = bytes.substr(0, overwritten + possible);
    content.replace(offset, overwritten, part);
    disk_.space -= possible;
    if (possible == added) return {};
    return boost::leaf::new_error(StorageError{
        StorageError::Code::kNoSpace, Path(name), offset, "disk full"});
  }
  boost::leaf::result<void> Truncate(const std::string& name,
                                     std::uint64_t size) override {
    std::string& content = disk_.current.at(name)->current;
    if (content.size() > size) FreeSpace(content.size() - size);
    content.resize(size, '\0');
    return {};
  }
  boost::leaf::result<void> SyncFile(const std::string& name) override {
    if (disk_.syncs_left == 0) return Fail(name, "sync failed");
    --disk_.syncs_left;
    FaultDisk::File& file = *disk_.current.at(name);
    file.synced = file.current;
    return {};
  }
  boost::leaf::result<void> SyncFolder() override {
    if (disk_.syncs_left == 0) return Fail(".", "sync failed");
    --disk_.syncs_left;
    disk_.synced = disk_.current;
    return {};
  }
  boost::leaf::result<void> Rename(const std::string& from,
                                   const std::string& to) override {
    if (disk_.current.contains(to)) {
      FreeSpace(disk_.current.at(to)->current.size());
    }
    disk_.current[to] = disk_.current.at(from);
    disk_.current.erase(from);
    return {};
  }
  boost::leaf::result<void> Remove(const std::string& name) override {
    const auto found = disk_.current.find(name);
    if (found == disk_.current.end()) return {};
    FreeSpace(found->second->current.size());
    disk_.current.erase(found);
    return {};
  }
  std::string Path(const std::string& name) const override {
    return "disk/" + name;
  }

 private:
  void FreeSpace(std::uint64_t bytes) {
    if (disk_.space <= std::numeric_limits<std::uint64_t>::max() - bytes) {
      disk_.space += bytes;
    }
  }
  boost::leaf::error_id Fail(const std::string& name, const char* message) {
    return boost::leaf::new_error(
        StorageError{StorageError::Code::kInputOutput, Path(name), 0, message});
  }

  FaultDisk& disk_;
};

}  // namespace cassiausher

#endif  // TESTS_MODULES_FAULT_FILE_SYSTEM_H_
