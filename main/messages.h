// Messages between the daemon's tasks.
#ifndef MAIN_MESSAGES_H_
#define MAIN_MESSAGES_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/settings.h"
#include "core/units.h"
#include "main/token_table.h"
#include "proto/gen/control.pb.h"
#include "servers/configuration/configuration.h"
#include "servers/ledger/ledger.h"
#include "servers/routing/router_types.h"
#include "servers/serving/request_flow.h"

namespace cassiausher {

/// Which pool placed a request, and who owns it.
struct PoolAddress {
  DataCentreId data_centre;
  ServiceId service;
  InstanceId owner;
  Epoch epoch{0};
};

// ---- To the control task -------------------------------------------------

/// A serving task asks for a place.
struct PlacementRequested {
  RouteRequest request;
  /// The request's first placement: the account's limits are checked.
  bool first = false;
};
/// A request that has asked for a place has ended.
struct RequestEnded {
  AccountId account;
  /// False when the account's limit refused it.
  bool admitted = true;
};
/// A placed request moved on.
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
/// A placed request of this entry instance, for a new pool owner.
struct RequestOffered {
  AdoptedRequest request;
  PoolAddress pool;
};
/// An endpoint announced itself to this instance.
struct EndpointAnnounced {
  proto::Announcement announcement;
};
/// Part of a state dump; `reply` may be called from any thread.
struct DumpRequested {
  std::function<void(std::string json)> reply;
};
/// An operator's statement. `reply` may be called from any thread.
struct StatementRequested {
  TokenOwner account;
  std::string text;
  std::function<void(int status, std::string json)> reply;
};
/// The process is told to shut down gracefully.
struct ShutdownRequested {};
/// Peers of the reloaded settings.
struct PeersChanged {
  std::vector<PeerSettings> peers;
};
/// The last request has ended; the process exits shortly.
struct LeaveRequested {};
/// A serving task asks for the right to run a request at most once.
struct ClaimRequested {
  LedgerClaim claim;
};
/// How a claimed request ended.
struct OutcomeReported {
  LedgerResult result;
};
/// Rows of one serving task, for a query of the control task.
struct RequestRowsGiven {
  std::uint64_t gather = 0;
  std::vector<RequestRow> rows;
};
/// What an endpoint of an owned pool holds.
struct SessionsListed {
  EndpointId endpoint;
  ServiceId service;
  std::vector<RequestId> requests;
};
/// A message of the control task to itself, as if from a peer.
struct LoopbackEnvelope {
  proto::Envelope envelope;
};

using ControlMessage =
    std::variant<PlacementRequested, PlacementProgress, CancelNotConfirmed,
                 RequestOffered, EndpointAnnounced, DumpRequested,
                 StatementRequested, ShutdownRequested, LeaveRequested,
                 PeersChanged, RequestEnded, ClaimRequested, OutcomeReported,
                 RequestRowsGiven, SessionsListed, LoopbackEnvelope>;

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
/// The pool has a new owner: requests placed in it are offered to the owner,
/// requests without a place ask again.
struct PoolOwnerChanged {
  PoolAddress pool;
};
/// The pool owner frees what an endpoint holds for a dead entry instance.
struct CancelOrdered {
  CancelOrder order;
  PoolAddress pool;
};
struct ConfigurationUpdated {
  std::shared_ptr<const Configuration> configuration;
};
/// Tokens of the reloaded settings.
struct KeysChanged {
  std::shared_ptr<const Settings::Keys> keys;
};
/// Rows of the requests in progress, for a query or a dump.
struct RequestRowsRequested {
  std::function<void(std::vector<RequestRow>)> reply;
};

/// The pool owner asks an endpoint what it holds.
struct SessionsRequested {
  EndpointId endpoint;
  std::string url;
  ServiceId service;
};
/// Whether new requests may be admitted.
struct AdmissionChanged {
  bool admits = false;
};
/// Answer to ClaimRequested; nothing when no quorum answered in time.
struct ClaimAnswered {
  RequestId request;
  std::optional<LedgerAnswer> answer;
};

using ServingMessage =
    std::variant<PlacementGranted, PlacementRefused, PoolOwnerChanged,
                 CancelOrdered, ConfigurationUpdated, RequestRowsRequested,
                 ShutdownRequested, ClaimAnswered, SessionsRequested,
                 KeysChanged, AdmissionChanged>;

}  // namespace cassiausher

#endif  // MAIN_MESSAGES_H_
