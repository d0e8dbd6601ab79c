// Conversions between routing values and their protobuf messages.
#ifndef MAIN_DAEMON_WIRE_H_
#define MAIN_DAEMON_WIRE_H_

#include "core/time.h"
#include "main/daemon/messages.h"
#include "proto/gen/control.pb.h"
#include "servers/routing/router_types.h"

namespace cassiausher {

/// Arrival times are sent as ages, since the clocks of two instances aren't
/// comparable.
proto::RouteRequest ToProto(const RouteRequest& request, Time now);
RouteRequest FromProto(const proto::RouteRequest& message, Time now);

proto::Grant ToProto(const Grant& grant, const PoolAddress& pool, int attempt);
PlacementGranted FromProto(const proto::Grant& message);

proto::RouteRefusal ToProto(const RouteRefusal& refusal, int attempt);
PlacementRefused FromProto(const proto::RouteRefusal& message);

proto::Progress ToProto(const RequestId& request, const ServiceId& service,
                        const ReportProgress& progress);

EndpointInfo EndpointInfoFromProto(const proto::Announcement& message);
LoadReport LoadReportFromProto(const proto::Announcement& message);

}  // namespace cassiausher

#endif  // MAIN_DAEMON_WIRE_H_
