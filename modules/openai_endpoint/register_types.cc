#include "modules/openai_endpoint/register_types.h"

#include <memory>

#include "modules/openai_endpoint/openai_driver.h"

namespace cassiausher {

void RegisterOpenAiEndpoint(EndpointDriverRegistry& registry) {
  registry.Register("openai", [] { return std::make_unique<OpenAiDriver>(); });
}

}  // namespace cassiausher
