#include "main/node/handle_release.h"

#include <cstdint>
#include <string_view>

#include "platform/request_headers.h"

namespace cassiausher {
namespace {

// The answer to a release call has no use.
constexpr std::int64_t kMaxReleaseAnswerBytes = 64 << 10;
constexpr Duration kReleaseTimeout = Seconds(2);

// Ignores the answer.
class ReleaseSink : public HttpCallSink {
 public:
  void OnHeaders(int, SoupMessageHeaders*) override {}
  void OnBody(std::string_view) override {}
  void OnDone(std::string_view, bool) override { delete this; }
};

}  // namespace

void ReleaseHandle(const KvSource& source, HttpClient* client) {
  HttpCall release = BuildReleaseCall(source);
  release.max_body_bytes = kMaxReleaseAnswerBytes;
  release.timeout = kReleaseTimeout;
  client->Start(release, new ReleaseSink);
}

}  // namespace cassiausher
