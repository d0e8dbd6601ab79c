#include "main/node/evidence_exchange.h"

#include <utility>

#include "main/node/crash_messages.h"

namespace cassiausher {

void EvidenceExchange::OnMessage(const InstanceId& from, Incarnation process,
                                 const proto::CrashEvidence& message,
                                 Time now) {
  sharing_.OnMessage(
      from, process,
      {.changes = ReadEvidence(message, now),
       .acknowledged_process = Incarnation(message.acknowledged_process()),
       .acknowledged_revision = message.acknowledged_revision()},
      now);
}

void EvidenceExchange::Tick(Time now) {
  for (const OutgoingEvidence& outgoing : sharing_.Tick(now)) {
    proto::NodeMessage message;
    proto::CrashEvidence* evidence = message.mutable_crash_evidence();
    WriteEvidence(outgoing.message.changes, now, evidence);
    evidence->set_acknowledged_process(
        outgoing.message.acknowledged_process.value());
    evidence->set_acknowledged_revision(outgoing.message.acknowledged_revision);
    link_->Send(outgoing.to, std::move(message));
  }
}

}  // namespace cassiausher
