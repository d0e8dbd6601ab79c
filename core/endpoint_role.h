// The part of a request that an endpoint takes.
#ifndef CORE_ENDPOINT_ROLE_H_
#define CORE_ENDPOINT_ROLE_H_

namespace cassiausher {

/// Prefill runners read prompts, decode runners write answers; plain endpoints
/// run no model.
enum class EndpointRole { kPrefill, kDecode, kPlain };

}  // namespace cassiausher

#endif  // CORE_ENDPOINT_ROLE_H_
