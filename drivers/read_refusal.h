// Why the server of a connection refuses a request that it hasn't read in full.
#ifndef DRIVERS_READ_REFUSAL_H_
#define DRIVERS_READ_REFUSAL_H_

#include <string>

namespace cassiausher {

/// Reason of refusals for want of memory.
constexpr const char* kNoMemoryText = "too many requests are being read";

/// Why a request isn't read any further.
struct ReadRefusal {
  int status = 0;
  std::string text;
};

}  // namespace cassiausher

#endif  // DRIVERS_READ_REFUSAL_H_
