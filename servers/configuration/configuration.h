// The replicated configuration that operators change: services, classes, client
// accounts, data centres, voters and limits.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_H_

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/routing/router_types.h"

namespace cassiausher {

enum class ServiceKind { kRunner, kPlain };

struct ServiceSettings {
  ServiceKind kind = ServiceKind::kRunner;
  /// Classes that callers may name; `default_class` is one of them.
  std::vector<ClassId> classes;
  ClassId default_class;
  /// Default for requests that don't state it.
  bool idempotent = true;
  /// Weight of the service's pools on the link of their data centre.
  double link_share = 1.0;
  /// How long a request may queue before it is refused.
  Duration admission_deadline = Seconds(10);
  /// Prompts up to this length may be prefilled on the decode engine.
  Tokens local_prefill_limit{256};
  /// How long a prefill engine keeps a result.
  Duration kv_retention = Milliseconds(800);
  /// 0 favours goodput, 1 favours little wasted prefill.
  double prefill_thrift = 0.5;
  /// False: endpoints ignore fencing numbers, so a new pool owner waits until
  /// the old lease has expired.
  bool honours_fencing = true;
  Tokens max_prompt_tokens{65536};

  bool operator==(const ServiceSettings&) const = default;
};

enum class AdminRole { kNone, kViewer, kOperator, kAdministrator };

struct ClientAccount {
  /// SHA-256 of the bearer token, 64 lower-case hexadecimal digits.
  std::string token_hash;
  AdminRole role = AdminRole::kNone;
  /// Services that an operator may change.
  std::vector<ServiceId> team;
  /// Requests a second over all instances.
  double request_rate = 100;
  /// Requests in progress over all instances.
  int concurrency = 100;
  /// Fair-share weight when pools are full.
  double weight = 1.0;

  bool operator==(const ClientAccount&) const = default;
};

struct DataCentreSettings {
  /// Accepts requests forwarded by instances of other data centres.
  bool accepts_forwarded = true;
  /// Typical delay to another data centre.
  Duration one_way_delay = Milliseconds(1);

  bool operator==(const DataCentreSettings&) const = default;
};

/// The KV cache link of one data centre.
struct LinkSettings {
  double bytes_per_second = 12.5e9;

  bool operator==(const LinkSettings&) const = default;
};

struct LimitSettings {
  Bytes body_bytes{4 << 20};
  Bytes header_bytes{16 << 10};
  int header_count = 100;
  int open_requests = 20000;
  /// How long the ledger keeps a finished record.
  Duration ledger_retention = Seconds(24 * 3600);
  /// Only the status of a larger answer is recorded.
  Bytes ledger_answer_bytes{64 << 10};
  int ledger_records = 50000;
  /// Total size of the recorded answers.
  Bytes ledger_bytes{24 << 20};
  /// A change that isn't acknowledged everywhere within this time is aborted.
  Duration change_timeout = Seconds(2);

  bool operator==(const LimitSettings&) const = default;
};

/// One revision of the configuration; ReplicatedState holds the active one.
struct Configuration {
  Revision revision{0};
  std::map<ServiceId, ServiceSettings> services;
  std::map<ClassId, ClassTargets> classes;
  std::map<AccountId, ClientAccount> accounts;
  std::map<DataCentreId, DataCentreSettings> data_centres;
  /// Each data centre named here is in `data_centres`.
  std::map<DataCentreId, LinkSettings> links;
  std::set<EndpointId> drained_endpoints;
  /// Changes don't wait for these; each is in `data_centres`.
  std::set<DataCentreId> excluded_data_centres;
  std::set<InstanceId> voters;
  LimitSettings limits;

  bool operator==(const Configuration&) const = default;
};

std::string_view NameOf(ServiceKind kind);
std::string_view NameOf(AdminRole role);

/// An unresolved reference or a value that conflicts with another.
struct Conflict {
  /// JSON pointer of the invalid value.
  std::string pointer;
  /// JSON pointer of the object that the value refers to; may be empty.
  std::string related;
  std::string message;
};

/// Every conflict between the objects of `configuration`.
std::vector<Conflict> FindConflicts(const Configuration& configuration);

nlohmann::json ToJson(const Configuration& configuration);
/// Parses and validates the whole configuration; reports all findings at once,
/// each with its JSON pointer. Unknown keys are findings.
std::variant<Configuration, Findings> ConfigurationFromJson(
    const nlohmann::json& json);

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_H_
