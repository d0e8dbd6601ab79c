// In-memory file system with fault injection: a crash or a loss of power loses
// unsynced writes wholly or in part, the disk runs full, syncs fail.
#ifndef TESTS_MODULES_FAULT_FILE_SYSTEM_H_
#define TESTS_MODULES_FAULT_FILE_SYSTEM_H_

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
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
  /// A write or a truncation since the last sync of its file.
  struct Change {
    std::uint64_t offset = 0;
    std::string bytes;
    /// The file ends at `offset`; `bytes` is empty.
    bool truncates = false;
  };
  struct File {
    std::string synced;
    std::string current;
    /// Changes that turn `synced` into `current`.
    std::vector<Change> unsynced;
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;

  Folder current;
  /// Directory content at the last SyncFolder().
  Folder synced;
  /// Free space in bytes.
  std::uint64_t space = std::numeric_limits<std::uint64_t>::max();
  /// Number of syncs that succeed before all further ones fail.
  std::uint64_t syncs_left = std::numeric_limits<std::uint64_t>::max();
  /// Number of changes and syncs before the process that uses the disk is
  /// killed: further ones fail and change nothing.
  std::uint64_t operations_left = std::numeric_limits<std::uint64_t>::max();

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
      file->unsynced.clear();
    }
  }

  /// Simulates a loss of power. Each change of a file since its last sync is
  /// present, missing or torn, or all are missing. Each name that was created,
  /// renamed or removed since the last SyncFolder() is durable or not,
  /// independently of the others.
  void LosePower(Random& random) {
    const Folder before = std::move(synced);
    const bool folder_lost = random.Chance(0.25);
    Folder after;
    const auto choose = [&](const std::string& name) {
      const bool keep_new = !folder_lost && random.Chance(0.5);
      const Folder& source = keep_new ? current : before;
      const auto found = source.find(name);
      if (found != source.end()) after[name] = found->second;
    };
    for (const auto& [name, file] : before) choose(name);
    for (const auto& [name, file] : current) {
      if (!before.contains(name)) choose(name);
    }
    current = after;
    synced = std::move(after);
    // A renamed file may have both names; its changes are lost once.
    std::set<File*> done;
    for (const auto& [name, file] : current) {
      if (done.insert(file.get()).second) LoseUnsynced(*file, random);
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

  /// Applies a change to the content of a file.
  static void Apply(const Change& change, std::string& content) {
    if (change.truncates) {
      content.resize(change.offset, '\0');
      return;
    }
    const std::size_t end = change.offset + change.bytes.size();
    if (content.size() < end) content.resize(end, '\0');
    content.replace(change.offset, change.bytes.size(), change.bytes);
  }

 private:
  /// Unit that a disk writes wholly or not at all.
  static constexpr std::uint64_t kSectorBytes = 512;

  static void LoseUnsynced(File& file, Random& random) {
    std::string content = file.synced;
    const bool all_lost = random.Chance(0.25);
    for (const Change& change : file.unsynced) {
      if (all_lost || random.Chance(0.2)) continue;
      if (change.truncates || random.Chance(0.3)) {
        Apply(change, content);
      } else {
        ApplyTorn(change, random, content);
      }
    }
    file.current = file.synced = std::move(content);
    file.unsynced.clear();
  }

  /// Applies a part of the write: the bytes before a random point, or random
  /// sectors. The file may have its full size either way.
  static void ApplyTorn(const Change& change, Random& random,
                        std::string& content) {
    if (random.Chance(0.5)) {
      Change prefix = change;
      prefix.bytes.resize(random.Below(change.bytes.size() + 1));
      Apply(prefix, content);
    } else {
      ApplySectors(change, random, content);
    }
    const std::size_t end = change.offset + change.bytes.size();
    if (content.size() < end && random.Chance(0.5)) content.resize(end, '\0');
  }

  static void ApplySectors(const Change& change, Random& random,
                           std::string& content) {
    const std::uint64_t end = change.offset + change.bytes.size();
    std::uint64_t begin = change.offset;
    while (begin < end) {
      const std::uint64_t next =
          std::min(end, (begin / kSectorBytes + 1) * kSectorBytes);
      const std::string bytes =
          change.bytes.substr(begin - change.offset, next - begin);
      if (random.Chance(0.5)) Apply({begin, bytes}, content);
      begin = next;
    }
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
    BOOST_LEAF_CHECK(Use(name));
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
    file->unsynced.push_back({offset, std::string(part)});
    disk_.space -= possible;
    if (possible == added) return {};
    return boost::leaf::new_error(StorageError{
        StorageError::Code::kNoSpace, Path(name), offset, "disk full"});
  }
  boost::leaf::result<void> Truncate(const std::string& name,
                                     std::uint64_t size) override {
    BOOST_LEAF_CHECK(Use(name));
    FaultDisk::File& file = *disk_.current.at(name);
    if (file.current.size() > size) FreeSpace(file.current.size() - size);
    file.unsynced.push_back({.offset = size, .truncates = true});
    FaultDisk::Apply(file.unsynced.back(), file.current);
    return {};
  }
  boost::leaf::result<void> SyncFile(const std::string& name) override {
    BOOST_LEAF_CHECK(Use(name));
    if (disk_.syncs_left == 0) return Fail(name, "sync failed");
    --disk_.syncs_left;
    FaultDisk::File& file = *disk_.current.at(name);
    file.synced = file.current;
    file.unsynced.clear();
    return {};
  }
  boost::leaf::result<void> SyncFolder() override {
    BOOST_LEAF_CHECK(Use("."));
    if (disk_.syncs_left == 0) return Fail(".", "sync failed");
    --disk_.syncs_left;
    disk_.synced = disk_.current;
    return {};
  }
  boost::leaf::result<void> Rename(const std::string& from,
                                   const std::string& to) override {
    BOOST_LEAF_CHECK(Use(to));
    if (disk_.current.contains(to)) {
      FreeSpace(disk_.current.at(to)->current.size());
    }
    disk_.current[to] = disk_.current.at(from);
    disk_.current.erase(from);
    return {};
  }
  boost::leaf::result<void> Remove(const std::string& name) override {
    BOOST_LEAF_CHECK(Use(name));
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
  /// Counts an operation; fails if the process has been killed before.
  boost::leaf::result<void> Use(const std::string& name) {
    if (disk_.operations_left == 0) return Fail(name, "process killed");
    --disk_.operations_left;
    return {};
  }
  boost::leaf::error_id Fail(const std::string& name, const char* message) {
    return boost::leaf::new_error(
        StorageError{StorageError::Code::kInputOutput, Path(name), 0, message});
  }

  FaultDisk& disk_;
};

}  // namespace cassiausher

#endif  // TESTS_MODULES_FAULT_FILE_SYSTEM_H_
