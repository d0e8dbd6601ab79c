// The software version that began each stream, kept while the stream may be
// taken up. What two versions write doesn't fit together.
#ifndef SERVERS_CONTROL_STREAM_ORIGINS_H_
#define SERVERS_CONTROL_STREAM_ORIGINS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "core/ids.h"
#include "core/time.h"

namespace cassiausher {

struct StreamOrigin {
  SoftwareVersion version;
  /// The stream can't be taken up later.
  Time expires_at{};
};

struct StreamOriginsOptions {
  /// Some 150 bytes of memory each.
  std::size_t max_streams = 200000;
};

/// Origins by the request that brought the first event. Not thread safe.
class StreamOrigins {
 public:
  explicit StreamOrigins(StreamOriginsOptions options) : options_(options) {}

  /// Returns false if there is no room.
  bool Add(const RequestId& request, const StreamOrigin& origin);
  std::optional<StreamOrigin> Find(const RequestId& request, Time now) const;
  void Expire(Time now);
  std::size_t size() const { return streams_.size(); }

 private:
  StreamOriginsOptions options_;
  std::map<RequestId, StreamOrigin> streams_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_STREAM_ORIGINS_H_
