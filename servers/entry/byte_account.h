// Account of the bytes of unfinished answers that an entry instance holds over
// all its calls to endpoints, with one limit for the process.
#ifndef SERVERS_ENTRY_BYTE_ACCOUNT_H_
#define SERVERS_ENTRY_BYTE_ACCOUNT_H_

#include <cstdint>
#include <functional>
#include <map>

#include "core/ids.h"

namespace cassiausher {

/// Not thread safe.
class ByteAccount {
 public:
  using HolderId = std::uint64_t;

  explicit ByteAccount(std::int64_t limit_bytes) : limit_bytes_(limit_bytes) {}
  ByteAccount(const ByteAccount&) = delete;
  ByteAccount& operator=(const ByteAccount&) = delete;

  /// Adds a call to `source`. `end` ends the call, which frees what it holds;
  /// it is called at most once, by Set() of any call.
  HolderId Add(const EndpointId& source, std::function<void()> end);
  void Remove(HolderId id);
  /// Sets what the call holds. If all calls together then hold more than the
  /// limit, calls are ended until they don't: each time the largest call of the
  /// endpoint whose calls hold most. An endpoint whose answers have no end has
  /// several large calls, a sound one with a large answer a single one.
  void Set(HolderId id, std::int64_t bytes);

  std::int64_t bytes() const { return bytes_; }
  /// Calls that were ended because of the limit.
  std::int64_t ended() const { return ended_; }

 private:
  struct Holder {
    EndpointId source;
    std::int64_t bytes = 0;
    std::function<void()> end;
  };
  using Holders = std::map<HolderId, Holder>;

  Holders::iterator LargestOfLargestSource();

  std::int64_t limit_bytes_;
  Holders holders_;
  HolderId next_id_ = 1;
  /// Sum over `holders_`.
  std::int64_t bytes_ = 0;
  std::int64_t ended_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_BYTE_ACCOUNT_H_
