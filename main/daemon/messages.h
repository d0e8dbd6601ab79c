// Messages between the daemon's tasks.
#ifndef MAIN_DAEMON_MESSAGES_H_
#define MAIN_DAEMON_MESSAGES_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/settings.h"
#include "core/units.h"
#include "main/daemon/token_table.h"
#include "proto/gen/control.pb.h"
#include "servers/configuration/configuration.h"
#include "servers/ledger/ledger.h"
#include "servers/routing/router_types.h"
#include "servers/serving/request_flow.h"

namespace cassiausher {

/// The pool that placed a request, and its owner.
struct PoolAddress {
  DataCentreId data_centre;
  ServiceId service;
  InstanceId owner;
  Epoch epoch{0};
};

// ---- To the control task -------------------------------------------------

/// A serving task requests a placement.
struct PlacementRequested {
  RouteRequest request;
  /// True for the request's first placement, when the account's limits are
  /// checked.
  bool first = false;
};
/// A request for which a placement was requested has ended.
struct RequestEnded {
  AccountId account;
  /// False if it was refused because of the account's limits.
  bool admitted = true;
};
/// Progress of a placed request.
struct PlacementProgress {
  RequestId request;
  PoolAddress pool;
  ReportProgress progress;
};
/// An endpoint did not confirm a cancel.
struct CancelNotConfirmed {
  EndpointId endpoint;
  PoolAddress pool;
};
/// A placed request of this entry instance, offered to the pool owner for
/// adoption.
struct RequestOffered {
  AdoptedRequest request;
  PoolAddress pool;
};
/// An endpoint announced itself to this instance.
struct EndpointAnnounced {
  proto::Announcement announcement;
};
/// Requests the control task's part of a state dump. `reply` may be called from
/// any thread.
struct DumpRequested {
  std::function<void(std::string json)> reply;
};
/// An operator's statement. `reply` may be called from any thread.
struct StatementRequested {
  TokenOwner account;
  std::string text;
  std::function<void(int status, std::string json)> reply;
};
/// Starts a graceful shutdown of the process.
struct ShutdownRequested {};
/// The peer list of reloaded settings.
struct PeersChanged {
  std::vector<PeerSettings> peers;
};
/// The last request has ended; the process exits once the control task has
/// said its last.
struct LeaveRequested {};
/// The shutdown limit is near: open requests of callers and open changes of
/// operators are ended with an error. Also sent to the serving tasks.
struct EndRequestsOrdered {};
/// A serving task claims an idempotency key in the ledger, so that the request
/// runs at most once.
struct ClaimRequested {
  LedgerClaim claim;
};
/// Outcome of a claimed request.
struct OutcomeReported {
  LedgerResult result;
};
/// Request rows of one serving task, for a query run by the control task.
struct RequestRowsGiven {
  std::uint64_t gather = 0;
  std::vector<RequestRow> rows;
};
/// Requests that an endpoint of an owned pool holds memory for.
struct SessionsListed {
  EndpointId endpoint;
  ServiceId service;
  std::vector<RequestId> requests;
};
/// A message from the control task to itself, handled like one from a peer.
struct LoopbackEnvelope {
  proto::Envelope envelope;
};

using ControlMessage =
    std::variant<PlacementRequested, PlacementProgress, CancelNotConfirmed,
                 RequestOffered, EndpointAnnounced, DumpRequested,
                 StatementRequested, ShutdownRequested, EndRequestsOrdered,
                 LeaveRequested, PeersChanged, RequestEnded, ClaimRequested,
                 OutcomeReported, RequestRowsGiven, SessionsListed,
                 LoopbackEnvelope>;

// ---- To a serving task ---------------------------------------------------

struct PlacementGranted {
  Grant grant;
  PoolAddress pool;
  int attempt = 0;
};
struct PlacementRefused {
  RouteRefusal refusal;
  int attempt = 0;
};
/// The pool has a new owner: requests placed in it are offered to the new
/// owner, requests without a placement request one again.
struct PoolOwnerChanged {
  PoolAddress pool;
};
/// The pool owner cancels a request at an endpoint, to free what the endpoint
/// holds for a lost entry instance.
struct CancelOrdered {
  CancelOrder order;
  PoolAddress pool;
};
struct ConfigurationUpdated {
  std::shared_ptr<const Configuration> configuration;
};
/// The access tokens of reloaded settings.
struct KeysChanged {
  std::shared_ptr<const Settings::Keys> keys;
};
/// Asks for the rows of the requests in progress, for a query or a dump.
struct RequestRowsRequested {
  std::function<void(std::vector<RequestRow>)> reply;
};

/// The pool owner asks an endpoint for the requests it holds memory for.
struct SessionsRequested {
  EndpointId endpoint;
  std::string url;
  ServiceId service;
};
/// Whether new requests may be admitted.
struct AdmissionChanged {
  bool admits = false;
};
/// The process ends. When the task is stopped, it first waits until every
/// caller has its answers, but not beyond `deadline`. Also sent to the admin
/// task.
struct EndOrdered {
  Time deadline{};
};
/// Answer to ClaimRequested; `answer` is empty if no quorum answered in time.
struct ClaimAnswered {
  RequestId request;
  std::optional<LedgerAnswer> answer;
};

using ServingMessage =
    std::variant<PlacementGranted, PlacementRefused, PoolOwnerChanged,
                 CancelOrdered, ConfigurationUpdated, RequestRowsRequested,
                 ShutdownRequested, ClaimAnswered, SessionsRequested,
                 KeysChanged, AdmissionChanged, EndRequestsOrdered, EndOrdered>;

// ---- To the admin task ---------------------------------------------------

/// The process shuts down: not ready, and each answer ends its connection.
struct DrainRequested {};
/// Takes no further work: closes the listener and refuses what still arrives.
struct StopRequested {};

using AdminMessage =
    std::variant<KeysChanged, DrainRequested, StopRequested, EndOrdered>;

}  // namespace cassiausher

#endif  // MAIN_DAEMON_MESSAGES_H_
