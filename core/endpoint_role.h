// The stage of a request that an endpoint serves.
#ifndef CORE_ENDPOINT_ROLE_H_
#define CORE_ENDPOINT_ROLE_H_

namespace cassiausher {

/// Prefill runners process prompts, decode runners generate output; plain
/// endpoints run no model.
enum class EndpointRole { kPrefill, kDecode, kPlain };

}  // namespace cassiausher

#endif  // CORE_ENDPOINT_ROLE_H_
