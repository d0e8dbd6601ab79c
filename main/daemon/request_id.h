// Request ids. The suffix names the entry instance and its serving task, so
// that a grant is routed to that task without a lookup table.
#ifndef MAIN_DAEMON_REQUEST_ID_H_
#define MAIN_DAEMON_REQUEST_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace cassiausher {

/// `caller_id~instance~task~counter`. `caller_id` is the caller's X-Request-Id
/// or empty.
RequestId MakeRequestId(std::string_view caller_id, const InstanceId& instance,
                        int task, std::uint64_t counter);

/// Serving task of an id made by `instance`; -1 for any other id.
int ServingTaskOf(const RequestId& request, const InstanceId& instance);

/// Entry instance of an id; empty if the id doesn't have this form.
InstanceId EntryOf(const RequestId& request);

/// Whether a caller's X-Request-Id may become part of an id: 1 to 64 letters,
/// digits, dots, dashes, underscores or colons.
bool IsCallerRequestId(std::string_view text);

}  // namespace cassiausher

#endif  // MAIN_DAEMON_REQUEST_ID_H_
