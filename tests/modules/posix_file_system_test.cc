// Guards against files that are synced in a folder which a loss of power
// removes.
#include "modules/file_log/posix_file_system.h"

#include <CppUTest/TestHarness.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <string>

using namespace cassiausher;  // NOLINT: test file

namespace {

std::set<std::string>& SyncedPaths() {
  static std::set<std::string> paths;
  return paths;
}

bool Opens(PosixFileSystem& files) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(files.Open());
        return true;
      },
      [] { return false; });
}

}  // namespace

/// Replaces the C library's function and records which files it syncs.
extern "C" int fsync(int descriptor) {
  std::error_code error;
  SyncedPaths().insert(std::filesystem::read_symlink(
                           "/proc/self/fd/" + std::to_string(descriptor), error)
                           .string());
  return static_cast<int>(syscall(SYS_fsync, descriptor));
}

TEST_GROUP(PosixFileSystem) {
  std::string folder;
  void setup() override {
    char name[] = "/tmp/cassiausher-files-XXXXXX";
    folder = mkdtemp(name);
    SyncedPaths().clear();
  }
  void teardown() override { std::filesystem::remove_all(folder); }
};

// Guards against a first start whose log folder is lost with the power: the
// instance would come back as a replica that has lost its disk.
TEST(PosixFileSystem, OpenMakesTheNamesOfNewFoldersDurable) {
  PosixFileSystem files(folder + "/instance/data/log");
  CHECK(Opens(files));
  CHECK(SyncedPaths().contains(folder));
  CHECK(SyncedPaths().contains(folder + "/instance"));
  CHECK(SyncedPaths().contains(folder + "/instance/data"));
}

// A process that was killed before it synced the names leaves folders that
// exist and are not durable.
TEST(PosixFileSystem, OpenMakesTheNamesOfExistingFoldersDurable) {
  std::filesystem::create_directories(folder + "/instance/log");
  PosixFileSystem files(folder + "/instance/log");
  CHECK(Opens(files));
  CHECK(SyncedPaths().contains(folder));
  CHECK(SyncedPaths().contains(folder + "/instance"));
}

// Guards against an instance that can't start because its data folder is in one
// of another user, such as the root of the file system.
TEST(PosixFileSystem, OpenSucceedsInsideAFolderThatIsNotWritable) {
  const std::string inner = folder + "/readonly/log";
  std::filesystem::create_directories(inner);
  std::filesystem::permissions(folder + "/readonly",
                               std::filesystem::perms::owner_exec);
  PosixFileSystem files(inner);
  const bool opened = Opens(files);
  std::filesystem::permissions(folder + "/readonly",
                               std::filesystem::perms::owner_all);
  CHECK(opened);
}
