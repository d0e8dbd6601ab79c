// Parses an endpoint's announcement; see docs/endpoint-protocol.md.
#ifndef MAIN_DAEMON_ANNOUNCEMENT_H_
#define MAIN_DAEMON_ANNOUNCEMENT_H_

#include <string_view>

#include "core/findings.h"
#include "proto/gen/control.pb.h"

namespace cassiausher {

/// Each error is added to `findings`; the message is valid only if none was
/// added.
proto::Announcement ParseAnnouncement(std::string_view body,
                                      Findings* findings);

}  // namespace cassiausher

#endif  // MAIN_DAEMON_ANNOUNCEMENT_H_
