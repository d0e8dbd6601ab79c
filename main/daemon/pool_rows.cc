#include "main/daemon/pool_rows.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "servers/routing/routing_policy.h"

namespace cassiausher {
namespace {

std::string_view NameOf(EndpointRole role) {
  switch (role) {
    case EndpointRole::kPrefill:
      return "prefill";
    case EndpointRole::kDecode:
      return "decode";
    case EndpointRole::kPlain:
      return "plain";
  }
  return "";
}

}  // namespace

void AppendEndpointRows(const PoolAddress& address, const PoolHost& host,
                        Time now, std::vector<Row>* rows) {
  for (const EndpointRow& endpoint : host.policy().Endpoints(now)) {
    Row row;
    row.Set("name", endpoint.info.id.value());
    row.Set("data_centre", endpoint.info.data_centre.value());
    row.Set("service", address.service.value());
    row.Set("role", std::string(NameOf(endpoint.info.role)));
    row.Set("url", endpoint.info.url);
    row.Set("slots", std::int64_t{endpoint.info.slots});
    row.Set("running", std::int64_t{endpoint.running});
    row.Set("reserved", std::int64_t{endpoint.reserved});
    row.Set("queued_prompt_tokens", endpoint.queued_prompt_tokens.value());
    row.Set("departing", endpoint.info.departing);
    row.Set("quarantined", endpoint.quarantined);
    row.Set("honours_fencing", endpoint.info.honours_fencing);
    row.Set("report_age", endpoint.report_age);
    rows->push_back(std::move(row));
  }
}

Row OwnerRow(const PoolAddress& address, const PoolHost& host, Time now) {
  const auto requests =
      static_cast<std::int64_t>(host.policy().Requests(now).size());
  Row row;
  row.Set("data_centre", address.data_centre.value());
  row.Set("service", address.service.value());
  row.Set("owner", address.owner.value());
  row.Set("epoch", static_cast<std::int64_t>(address.epoch.value()));
  row.Set("queued", std::int64_t{host.queued()});
  row.Set("running", std::max<std::int64_t>(0, requests - host.queued()));
  return row;
}

nlohmann::json DumpPool(const PoolAddress& address, const PoolHost& host,
                        Time now) {
  nlohmann::json entry = {{"service", address.service.value()},
                          {"epoch", address.epoch.value()},
                          {"queued", host.queued()},
                          {"endpoints", nlohmann::json::array()},
                          {"requests", nlohmann::json::array()}};
  for (const EndpointRow& row : host.policy().Endpoints(now)) {
    entry["endpoints"].push_back({{"endpoint", row.info.id.value()},
                                  {"running", row.running},
                                  {"reserved", row.reserved},
                                  {"departing", row.info.departing},
                                  {"quarantined", row.quarantined}});
  }
  for (const RequestRow& row : host.policy().Requests(now)) {
    entry["requests"].push_back({{"request", row.id.value()},
                                 {"entry", row.entry.value()},
                                 {"age_ms", ToMilliseconds(row.age)}});
  }
  return entry;
}

}  // namespace cassiausher
