// Conversion of configuration documents, and of what an instance knows of the
// newest one, to and from messages. Times become ages, since the clocks of two
// instances differ.
#ifndef MAIN_NODE_NODE_MESSAGES_H_
#define MAIN_NODE_NODE_MESSAGES_H_

#include <optional>

#include "core/time.h"
#include "proto/gen/node.pb.h"
#include "servers/control/configuration_register.h"
#include "servers/control/newest_version.h"

namespace cassiausher {

proto::VersionedDocument ToProto(const VersionedDocument& document);
VersionedDocument FromProto(const proto::VersionedDocument& message);

/// `held` is the version of the document that the sender delivers.
void WriteNotice(const NewestVersion& newest, Revision held, Time now,
                 proto::ConfigurationNotice* notice);

/// When the notice's version was confirmed; empty if it never was.
std::optional<Time> ConfirmedAt(const proto::ConfigurationNotice& notice,
                                Time now);

}  // namespace cassiausher

#endif  // MAIN_NODE_NODE_MESSAGES_H_
