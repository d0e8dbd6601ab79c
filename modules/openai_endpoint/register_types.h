// Registers the driver for engines with an OpenAI-style HTTP API.
#ifndef MODULES_OPENAI_ENDPOINT_REGISTER_TYPES_H_
#define MODULES_OPENAI_ENDPOINT_REGISTER_TYPES_H_

#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

/// Registers `openai` in `registry`.
void RegisterOpenAiEndpoint(EndpointDriverRegistry& registry);

}  // namespace cassiausher

#endif  // MODULES_OPENAI_ENDPOINT_REGISTER_TYPES_H_
