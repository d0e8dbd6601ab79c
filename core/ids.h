// Id types used in messages, settings and replicated state.
#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include "core/strong_string.h"

namespace cassiausher {

/// Name of an instance from its settings; unique in the deployment.
using InstanceId = StrongString<struct InstanceIdTag>;
using DataCentreId = StrongString<struct DataCentreIdTag>;
/// Name of an endpoint from its announcement; unique in the deployment.
using EndpointId = StrongString<struct EndpointIdTag>;
/// Name of a service: the value of "model" in a caller's request, or the NAME
/// of a plain service.
using ServiceId = StrongString<struct ServiceIdTag>;
/// Version of an endpoint's software, as it names it.
using SoftwareVersion = StrongString<struct SoftwareVersionTag>;
/// Id of one request, unique over the lifetime of the deployment.
using RequestId = StrongString<struct RequestIdTag>;
/// Client account that a request is billed to.
using AccountId = StrongString<struct AccountIdTag>;
/// Class of a request; determines its latency targets and its queue.
using ClassId = StrongString<struct ClassIdTag>;
/// Operator-assigned id of a configuration change.
using ChangeId = StrongString<struct ChangeIdTag>;
/// Value of the Idempotency-Key header, scoped by account.
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

}  // namespace cassiausher

#endif  // CORE_IDS_H_
