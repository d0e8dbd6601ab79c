// Releases a prompt's KV cache that no run will fetch.
#ifndef MAIN_NODE_HANDLE_RELEASE_H_
#define MAIN_NODE_HANDLE_RELEASE_H_

#include "drivers/http_client.h"
#include "servers/entry/request_forwarder.h"

namespace cassiausher {

/// Doesn't wait for the answer: the handle expires by itself if the call fails.
void ReleaseHandle(const KvSource& source, HttpClient* client);

}  // namespace cassiausher

#endif  // MAIN_NODE_HANDLE_RELEASE_H_
