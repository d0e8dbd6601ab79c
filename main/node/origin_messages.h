// Conversion of stream origins to and from messages, and the answers of a
// control instance that keeps them.
#ifndef MAIN_NODE_ORIGIN_MESSAGES_H_
#define MAIN_NODE_ORIGIN_MESSAGES_H_

#include "core/time.h"
#include "proto/gen/node.pb.h"
#include "servers/control/stream_origins.h"

namespace cassiausher {

void WriteOrigin(const StreamName& name, const StreamOrigin& origin, Time now,
                 proto::StreamOrigin* message);
StreamOrigin ReadOrigin(const proto::StreamOrigin& message, Time now);

/// Keeps the origins and returns the confirmation; no body if there was no room
/// for one of them.
proto::NodeMessage Keep(const proto::StoreOrigins& message, Time now,
                        StreamOrigins* origins);
proto::NodeMessage AnswerSearch(const proto::FindOrigin& message, Time now,
                                const StreamOrigins& origins);

}  // namespace cassiausher

#endif  // MAIN_NODE_ORIGIN_MESSAGES_H_
