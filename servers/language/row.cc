// The tables of the language and the operations on rows.
#include "servers/language/row.h"

#include <algorithm>
#include <utility>

namespace cassiausher {

const std::vector<Table>& Tables() {
  using enum ValueKind;
  static const std::vector<Table> tables = {
      {"requests",
       "requests in progress",
       {{"id", kString, "request id"},
        {"entry", kString, "instance that the caller reached"},
        {"data_centre", kString, "data centre of the entry instance"},
        {"service", kString, "service"},
        {"class", kString, "class"},
        {"account", kString, "client account"},
        {"stage", kString, "queued, prefill, transfer or decode"},
        {"prefill", kString, "prefill endpoint, empty if none"},
        {"decode", kString, "decode endpoint, empty if none"},
        {"age", kDuration, "time since arrival"},
        {"late", kDuration,
         "time past the first-token target, negative while within it"}}},
      {"endpoints",
       "announced endpoints",
       {{"name", kString, "endpoint name"},
        {"data_centre", kString, "data centre"},
        {"service", kString, "service"},
        {"role", kString, "prefill, decode or plain"},
        {"url", kString, "base URL"},
        {"slots", kInteger, "requests that run at once"},
        {"running", kInteger, "requests running by the owner's account"},
        {"reserved", kInteger, "slots reserved for requests in prefill"},
        {"queued_prompt_tokens", kInteger, "prompt tokens waiting for prefill"},
        {"departing", kBoolean, "takes no new work"},
        {"quarantined", kBoolean, "failed too often or doesn't obey"},
        {"honours_fencing", kBoolean, "refuses old fencing numbers"},
        {"report_age", kDuration, "age of the last load report"}}},
      {"services",
       "services and their settings",
       {{"name", kString, "service name"},
        {"kind", kString, "runner or plain"},
        {"classes", kString, "classes, with commas"},
        {"default_class", kString, "class of requests that name none"},
        {"idempotent", kBoolean, "default for requests that don't say it"},
        {"link_share", kNumber, "weight on the link of a data centre"},
        {"admission_deadline", kDuration, "longest wait for a place"},
        {"local_prefill_limit", kInteger,
         "longest prompt prefilled on the decode engine, tokens"},
        {"kv_retention", kDuration, "how long a prefill result is kept"},
        {"prefill_thrift", kNumber, "0 goodput to 1 little wasted prefill"},
        {"honours_fencing", kBoolean, "endpoints refuse old fencing numbers"},
        {"max_prompt_tokens", kInteger, "longest prompt accepted"}}},
      {"classes",
       "classes and their targets",
       {{"name", kString, "class name"},
        {"priority", kInteger, "lower runs first"},
        {"first_token", kDuration, "target for the first token"},
        {"between_tokens", kDuration, "target between tokens"}}},
      {"instances",
       "instances of cassiausher",
       {{"name", kString, "instance name"},
        {"data_centre", kString, "data centre"},
        {"state", kString, "alive, suspect, dead or leaving"},
        {"incarnation", kInteger, "grows at each start"},
        {"voter", kBoolean, "votes in the consensus group"},
        {"leader", kBoolean, "leads the consensus group"},
        {"revision", kInteger, "active configuration revision"},
        {"requests", kInteger, "requests in progress that entered here"}}},
      {"data_centres",
       "data centres",
       {{"name", kString, "data centre name"},
        {"excluded", kBoolean, "changes don't wait for it"},
        {"accepts_forwarded", kBoolean, "takes requests of other data centres"},
        {"one_way_delay", kDuration, "typical delay to another data centre"},
        {"instances", kInteger, "live instances"},
        {"revision", kInteger, "lowest active revision of its instances"}}},
      {"links",
       "KV cache links",
       {{"data_centre", kString, "data centre"},
        {"bytes_per_second", kNumber, "configured rate"},
        {"queued_bytes", kInteger, "bytes reserved and not yet transferred"}}},
      {"changes",
       "recorded changes",
       {{"id", kString, "change id"},
        {"state", kString, "staged, active, aborted or refused"},
        {"revision", kInteger, "revision after the change"},
        {"accepted", kBoolean, "whether the change was made"},
        {"in_force", kBoolean, "in force in every data centre"}}},
      {"accounts",
       "client accounts",
       {{"name", kString, "account name"},
        {"role", kString, "none, viewer, operator or administrator"},
        {"team", kString, "services an operator may change, with commas"},
        {"request_rate", kNumber, "requests a second allowed"},
        {"concurrency", kInteger, "requests in progress allowed"},
        {"weight", kNumber, "fair-share weight"},
        {"running", kInteger, "requests in progress"}}},
      {"owners",
       "owners of pools",
       {{"data_centre", kString, "data centre of the pool"},
        {"service", kString, "service of the pool"},
        {"owner", kString, "instance that owns the pool"},
        {"epoch", kInteger, "ownership epoch, the fencing number"},
        {"lease", kDuration, "rest of the owner's lease"},
        {"queued", kInteger, "requests waiting for a place"},
        {"running", kInteger, "requests placed"}}},
  };
  return tables;
}

const Table* FindTable(std::string_view name) {
  for (const Table& table : Tables()) {
    if (table.name == name) return &table;
  }
  return nullptr;
}

const Column* FindColumn(const Table& table, std::string_view name) {
  for (const Column& column : table.columns) {
    if (column.name == name) return &column;
  }
  return nullptr;
}

void Row::Set(std::string_view name, Value value) {
  const auto found =
      std::find_if(cells_.begin(), cells_.end(),
                   [&](const Cell& cell) { return cell.name == name; });
  if (found != cells_.end()) {
    found->value = std::move(value);
    return;
  }
  cells_.push_back({std::string(name), std::move(value)});
}

const Value* Row::Find(std::string_view name) const {
  for (const Cell& cell : cells_) {
    if (cell.name == name) return &cell.value;
  }
  return nullptr;
}

nlohmann::json Row::ToJson() const {
  nlohmann::json json = nlohmann::json::object();
  for (const Cell& cell : cells_) {
    json[JsonName(cell.name, KindOf(cell.value))] = ValueToJson(cell.value);
  }
  return json;
}

}  // namespace cassiausher
