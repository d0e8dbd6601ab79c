// Strongly typed units and counters.
#ifndef CORE_UNITS_H_
#define CORE_UNITS_H_

#include <cstdint>

#include "core/strong_number.h"

namespace cassiausher {

/// Prompt or output length in model tokens.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
/// Size of a KV cache, a body or a file.
using Bytes = StrongNumber<struct BytesTag, std::int64_t>;
/// Number of the active configuration; increases by one with each change.
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;
/// Ownership epoch of a pool; sent to endpoints as the fencing number.
using Epoch = StrongNumber<struct EpochTag, std::uint64_t>;
/// Distinguishes the runs of one instance or endpoint; increases at each start.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
/// Requests a second.
using RequestRate = StrongNumber<struct RequestRateTag, double>;

}  // namespace cassiausher

#endif  // CORE_UNITS_H_
