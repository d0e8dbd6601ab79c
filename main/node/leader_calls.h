// Calls of operators, and of endpoints that leave, at a control instance: each
// is held until the leader of the replicated log has answered it.
#ifndef MAIN_NODE_LEADER_CALLS_H_
#define MAIN_NODE_LEADER_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"
#include "drivers/http_server.h"
#include "main/node/configuration_log.h"
#include "main/node/node_link.h"
#include "main/raft_host.h"
#include "servers/control/configuration_register.h"
#include "servers/control/log_command.h"

namespace cassiausher {

/// Answers an HTTP call that failed at this instance.
void RespondControlError(HttpExchange& exchange, int status,
                         std::string_view code, std::string message);

/// Used on the control node's task only; `log` and `link` must outlive it.
class LeaderCalls {
 public:
  LeaderCalls(InstanceId self, ConfigurationLog* log, NodeLink* link)
      : self_(std::move(self)), log_(log), link_(link) {}

  /// Answered once the document, or a higher version, is committed.
  void Submit(HttpExchangePtr exchange, VersionedDocument document, Time now);
  /// Answered once it is committed that the endpoint leaves.
  void SubmitLeaving(HttpExchangePtr exchange, const EndpointRecord& record,
                     Time now);
  /// Answered with the configuration that is in force now.
  void Read(HttpExchangePtr exchange, Time now);
  /// Sends calls to the leader again, and answers 503 to those that timed out.
  void Retry(Time now);
  /// Answers 503 to all calls, and to later ones.
  void Stop();

  // The leader's answers; unknown ids are ignored.
  void OnSubmitted(std::uint64_t submission);
  void OnRead(std::uint64_t read, const VersionedDocument& document);

  /// An id that no call has, for reads by the instance itself.
  std::uint64_t NextId() { return next_id_++; }

 private:
  struct Call {
    HttpExchangePtr exchange;
    Time started{};
    Time sent_at{};
    /// What is submitted; empty for a read.
    std::optional<LogCommand> command;
  };

  static void RespondStopping(HttpExchange& exchange);
  void SubmitCommand(HttpExchangePtr exchange, LogCommand command, Time now);
  /// May finish the call.
  void SendToLeader(std::uint64_t id, Time now);

  InstanceId self_;
  ConfigurationLog* log_;
  NodeLink* link_;
  std::map<std::uint64_t, Call> calls_;
  /// Starts at random, so that answers to calls of an earlier process at this
  /// address match none.
  std::uint64_t next_id_ = RandomNonZero();
  bool stopping_ = false;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_LEADER_CALLS_H_
