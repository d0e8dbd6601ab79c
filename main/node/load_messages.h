// Conversion of endpoint loads to and from messages between instances.
#ifndef MAIN_NODE_LOAD_MESSAGES_H_
#define MAIN_NODE_LOAD_MESSAGES_H_

#include "proto/gen/node.pb.h"
#include "servers/loads/endpoint_loads.h"
#include "servers/loads/pace_outcomes.h"

namespace cassiausher {

using LoadMessages = google::protobuf::RepeatedPtrField<proto::EndpointLoad>;

/// Missing points of a memory forecast are read as 0.
EndpointLoads ReadLoads(const LoadMessages& messages);
void WriteLoads(const EndpointLoads& loads, LoadMessages* messages);

using WaitingMessages =
    google::protobuf::RepeatedPtrField<proto::WaitingRequests>;

WaitingRequests ReadWaiting(const WaitingMessages& messages);
void WriteWaiting(const WaitingRequests& waiting, WaitingMessages* messages);

using PaceMessages = google::protobuf::RepeatedPtrField<proto::PaceOutcomes>;

EndpointPaceOutcomes ReadOutcomes(const PaceMessages& messages);
void WriteOutcomes(const EndpointPaceOutcomes& paced, PaceMessages* messages);

}  // namespace cassiausher

#endif  // MAIN_NODE_LOAD_MESSAGES_H_
