// Stands for the disk of one control instance: preloaded into the instance by
// full_disk_soak.py, it refuses every write below a folder while the disk is
// full. The instance's own code knows nothing of it.
//
// FULL_DISK_STATE names a file whose first byte is the state of the disk:
// 'f': full, 'p': the first half of a write fits, anything else: writes pass.
// FULL_DISK_FOLDER is the folder.
#include <dlfcn.h>
#include <fcntl.h>
#include <limits.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

using OpenFunction = int (*)(const char*, int, ...);
using WriteFunction = ssize_t (*)(int, const void*, size_t, off64_t);
using MakeFolderFunction = int (*)(const char*, mode_t);

constexpr char kFull = 'f';
constexpr char kPartlyFull = 'p';

template <typename Function>
Function Real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

const char* Environment(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? "" : value;
}

char DiskState() {
  static const auto real_open = Real<OpenFunction>("open64");
  const int file =
      real_open(Environment("FULL_DISK_STATE"), O_RDONLY | O_CLOEXEC);
  if (file < 0) return 0;
  char state = 0;
  if (read(file, &state, 1) != 1) state = 0;
  close(file);
  return state;
}

bool IsOnDisk(const char* path) {
  const char* folder = Environment("FULL_DISK_FOLDER");
  return std::strncmp(path, folder, std::strlen(folder)) == 0;
}

bool IsOnDisk(int descriptor) {
  char link[64];
  std::snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
  char path[PATH_MAX];
  const ssize_t size = readlink(link, path, sizeof path - 1);
  if (size < 0) return false;
  path[size] = '\0';
  return IsOnDisk(path);
}

bool RefusesNewFile(const char* path, int flags) {
  if ((flags & O_CREAT) == 0 || !IsOnDisk(path)) return false;
  return access(path, F_OK) != 0 && DiskState() == kFull;
}

int NoSpace() {
  errno = ENOSPC;
  return -1;
}

int Open(const char* name, const char* path, int flags, mode_t mode) {
  if (RefusesNewFile(path, flags)) return NoSpace();
  return Real<OpenFunction>(name)(path, flags, mode);
}

}  // namespace

extern "C" int open(const char* path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = va_arg(arguments, mode_t);
  va_end(arguments);
  return Open("open", path, flags, mode);
}

extern "C" int open64(const char* path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = va_arg(arguments, mode_t);
  va_end(arguments);
  return Open("open64", path, flags, mode);
}

extern "C" int mkdir(const char* path, mode_t mode) {
  if (IsOnDisk(path) && DiskState() == kFull) return NoSpace();
  return Real<MakeFolderFunction>("mkdir")(path, mode);
}

extern "C" ssize_t pwrite64(int file, const void* bytes, size_t size,
                            off64_t offset) {
  static const auto real_write = Real<WriteFunction>("pwrite64");
  const char state = IsOnDisk(file) ? DiskState() : 0;
  if (state == kFull || (state == kPartlyFull && size < 2)) return NoSpace();
  const size_t fits = state == kPartlyFull ? size / 2 : size;
  return real_write(file, bytes, fits, offset);
}

extern "C" ssize_t pwrite(int file, const void* bytes, size_t size,
                          off_t offset) {
  return pwrite64(file, bytes, size, offset);
}
