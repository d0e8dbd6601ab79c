// What is withheld because of a cause, and when it is tried again.
#ifndef SERVERS_CRASHES_VERDICT_H_
#define SERVERS_CRASHES_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/strong_number.h"
#include "core/time.h"
#include "servers/crashes/crash_evidence.h"

namespace cassiausher {

/// Identifies a verdict towards operators: a hash of its traits.
using VerdictId = StrongNumber<struct VerdictIdTag, std::uint64_t>;

struct VerdictOptions {
  /// From the last crash to the next trial. Doubles with each renewal, up to
  /// the maximum.
  Duration retry_period = Seconds(120);
  Duration max_retry_period = Seconds(480);
};

/// Calls with the cause's traits are withheld.
struct Verdict {
  VerdictId id{0};
  Cause cause;
  /// Such calls aren't made until then. Then single ones are tried.
  Time retry_at{};
};

std::vector<Verdict> VerdictsOf(const std::vector<Cause>& causes,
                                const VerdictOptions& options);
/// Null if there is none with this id.
const Verdict* FindVerdict(const std::vector<Verdict>& verdicts, VerdictId id);

/// In hexadecimal.
std::string ToString(VerdictId id);
/// Null if the text isn't what ToString() returns.
std::optional<VerdictId> ParseVerdictId(std::string_view text);

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_VERDICT_H_
