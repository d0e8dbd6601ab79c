// Conversion of crash evidence to and from messages. Times become ages, since
// the clocks of two instances differ.
#ifndef MAIN_NODE_CRASH_MESSAGES_H_
#define MAIN_NODE_CRASH_MESSAGES_H_

#include "core/time.h"
#include "proto/gen/node.pb.h"
#include "servers/crashes/crash_evidence.h"

namespace cassiausher {

void WriteEvidence(const EvidenceChanges& changes, Time now,
                   proto::CrashEvidence* message);
/// Leaves out records that lack an id, or have more traits than a call may
/// have.
EvidenceChanges ReadEvidence(const proto::CrashEvidence& message, Time now);

}  // namespace cassiausher

#endif  // MAIN_NODE_CRASH_MESSAGES_H_
