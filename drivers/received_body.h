// Body of a request as it is received. libsoup would keep each piece in a
// buffer of its own, which takes much more memory than its bytes if chunks are
// short.
#ifndef DRIVERS_RECEIVED_BODY_H_
#define DRIVERS_RECEIVED_BODY_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <string>

namespace cassiausher {

struct ReceivedBody {
  /// Released when the request is refused.
  std::string bytes;
  /// Counts on after a refusal.
  std::int64_t received = 0;
  int pieces = 0;
};

/// Belongs to the message and is destroyed with it.
ReceivedBody& BodyOf(SoupServerMessage* message);

}  // namespace cassiausher

#endif  // DRIVERS_RECEIVED_BODY_H_
