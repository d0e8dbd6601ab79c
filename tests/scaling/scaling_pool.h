// Builds pool observations for the planner's tests.
#ifndef TESTS_SCALING_SCALING_POOL_H_
#define TESTS_SCALING_SCALING_POOL_H_

#include <string>
#include <vector>

#include "servers/scaling/pool_planner.h"

namespace cassiausher {

inline Time At(double seconds) { return Time(FromSeconds(seconds)); }

inline EndpointStatus Runner(const std::string& name, EndpointRole role) {
  EndpointStatus status;
  status.info.id = EndpointId(name);
  status.info.role = role;
  status.info.prefill_tokens_per_second = 10'000;
  status.info.incarnation = Incarnation(1);
  return status;
}

inline PoolObservation Pool(int prefill, int decode) {
  PoolObservation pool;
  for (int i = 0; i < prefill + decode; ++i) {
    pool.endpoints.push_back(
        Runner("r" + std::to_string(i + 1),
               i < prefill ? EndpointRole::kPrefill : EndpointRole::kDecode));
  }
  return pool;
}

inline void SetDemand(PoolObservation& pool, double prompt, double output) {
  pool.demand = {{.id = ClassId("long"),
                  .prompt_tokens_per_second = prompt,
                  .output_tokens_per_second = output}};
}

}  // namespace cassiausher

#endif  // TESTS_SCALING_SCALING_POOL_H_
