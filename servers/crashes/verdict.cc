#include "servers/crashes/verdict.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "core/hash.h"

namespace cassiausher {
namespace {

constexpr int kHexadecimal = 16;

// The order of the traits is fixed, so that all instances get one id.
VerdictId IdOf(const CallTraits& traits) {
  return VerdictId(HashText(ToString(traits), 0));
}

Duration RetryPeriod(int renewals, const VerdictOptions& options) {
  Duration period = options.retry_period;
  for (int i = 0; i < renewals; ++i) {
    if (period >= options.max_retry_period) break;
    period *= 2;
  }
  return std::min(period, options.max_retry_period);
}

}  // namespace

std::vector<Verdict> VerdictsOf(const std::vector<Cause>& causes,
                                const VerdictOptions& options) {
  std::vector<Verdict> verdicts;
  for (const Cause& cause : causes) {
    verdicts.push_back({.id = IdOf(cause.traits),
                        .cause = cause,
                        .retry_at = cause.last_crash_at +
                                    RetryPeriod(cause.renewals, options)});
  }
  return verdicts;
}

const Verdict* FindVerdict(const std::vector<Verdict>& verdicts, VerdictId id) {
  const auto found =
      std::find_if(verdicts.begin(), verdicts.end(),
                   [id](const Verdict& verdict) { return verdict.id == id; });
  return found == verdicts.end() ? nullptr : &*found;
}

std::string ToString(VerdictId id) {
  return fmt::format("{:016x}", id.value());
}

std::optional<VerdictId> ParseVerdictId(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value, kHexadecimal);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return VerdictId(value);
}

}  // namespace cassiausher
