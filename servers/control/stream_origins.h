// The software version that began each stream, kept while the stream may be
// taken up. What two versions write doesn't fit together.
//
// A caller that takes a stream up names the request that brought its first
// event, or only repeats its request with the number of the last event. So an
// origin is kept by the id of its request and by the content that all attempts
// at it have in common.
#ifndef SERVERS_CONTROL_STREAM_ORIGINS_H_
#define SERVERS_CONTROL_STREAM_ORIGINS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "core/ids.h"
#include "core/strong_string.h"
#include "core/time.h"

namespace cassiausher {

/// Id of a request, or a hash of what its attempts have in common.
using StreamName = StrongString<struct StreamNameTag>;

struct StreamOrigin {
  /// Null if streams of several versions have the name, which then doesn't show
  /// which of them a caller has a part of.
  std::optional<SoftwareVersion> version;
  /// The stream can't be taken up later.
  Time expires_at{};
};

struct StreamOriginsOptions {
  /// Two for each stream, some 150 bytes of memory each.
  std::size_t max_names = 400000;
};

/// Origins by the names of their streams. Not thread safe.
class StreamOrigins {
 public:
  explicit StreamOrigins(StreamOriginsOptions options) : options_(options) {}

  /// Returns false if there is no room.
  bool Add(const StreamName& name, const StreamOrigin& origin, Time now);
  std::optional<StreamOrigin> Find(const StreamName& name, Time now) const;
  void Expire(Time now);
  std::size_t size() const { return origins_.size(); }

 private:
  StreamOriginsOptions options_;
  std::map<StreamName, StreamOrigin> origins_;
};

/// What is known of one stream from two places, or of two with the same name.
StreamOrigin Combine(const StreamOrigin& a, const StreamOrigin& b);

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_STREAM_ORIGINS_H_
