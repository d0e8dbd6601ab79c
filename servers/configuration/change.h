// A change to the configuration: an ordered list of operations that is applied
// as a whole or not at all.
#ifndef SERVERS_CONFIGURATION_CHANGE_H_
#define SERVERS_CONFIGURATION_CHANGE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/units.h"
#include "servers/configuration/configuration.h"
#include "servers/configuration/value.h"

namespace cassiausher {

/// The numbers are part of the replicated log; never reuse one.
enum class OperationKind {
  kSet = 1,
  kCreate = 2,
  kRemove = 3,
  kDrain = 4,
  kUndrain = 5,
  kExclude = 6,
  kInclude = 7,
  kAddVoter = 8,
  kRemoveVoter = 9,
};

/// The numbers are part of the replicated log; never reuse one.
enum class ObjectKind {
  kService = 1,
  kClass = 2,
  kAccount = 3,
  kLimit = 4,
  kDataCentre = 5,
  kLink = 6,
  kEndpoint = 7,
  kVoter = 8,
};

/// Position in the change's text; line and column count from 1.
struct SourcePlace {
  int line = 1;
  int column = 1;

  bool operator==(const SourcePlace&) const = default;
};

/// "line 2 column 7", the form of `Finding::place` for statements.
std::string FormatPlace(SourcePlace place);

struct Operation {
  OperationKind kind = OperationKind::kSet;
  ObjectKind object = ObjectKind::kService;
  /// Name of the object; of the limit when `object` is kLimit.
  std::string name;
  /// Only for kSet; empty for a limit, which has no fields.
  std::string field;
  /// Only for kSet.
  Value value;
  SourcePlace place;

  bool operator==(const Operation&) const = default;
};

struct Change {
  ChangeId id;
  /// The change is refused unless this revision is the active one.
  std::optional<Revision> expected_revision;
  std::vector<Operation> operations;
  /// The statement as the operator wrote it; a repeated id with another text
  /// is refused.
  std::string text;

  bool operator==(const Change&) const = default;
};

std::string_view NameOf(ObjectKind kind);

/// Applies all operations in order and validates the result. On success the
/// revision is one above that of `base`; otherwise every invalid operation is
/// reported with its line and column, and nothing is applied. A change adds or
/// removes at most one voter, so that old and new majorities of the consensus
/// group overlap.
std::variant<Configuration, Findings> ApplyChange(const Change& change,
                                                  const Configuration& base);

/// Returns the service of an endpoint, or an empty id if it is unknown.
using ServiceOfEndpoint = std::function<ServiceId(const EndpointId&)>;

/// Reports the operations that the account may not perform. An administrator
/// may perform all; an operator may change the services of its team, their
/// endpoints and the classes that only those services use.
Findings CheckPermission(const Change& change, const ClientAccount& account,
                         const Configuration& configuration,
                         const ServiceOfEndpoint& service_of);

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_CHANGE_H_
