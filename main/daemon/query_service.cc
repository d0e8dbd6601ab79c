#include "main/daemon/query_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/json_reader.h"
#include "servers/language/statement.h"

namespace cassiausher {
namespace {

constexpr Duration kAnswerTimeout = Milliseconds(1000);

// Whether instances hold different rows of the table, so that all must be
// asked. Any one instance can answer a query on another table.
bool IsDistributed(const std::string& table) {
  return table == "requests" || table == "endpoints" || table == "instances" ||
         table == "owners" || table == "changes";
}

// Removes duplicate rows, which several instances hold.
std::vector<Row> WithoutDuplicates(std::vector<Row> rows) {
  std::set<std::string> seen;
  std::vector<Row> result;
  for (Row& row : rows) {
    if (seen.insert(DumpJson(row.ToJson())).second) {
      result.push_back(std::move(row));
    }
  }
  return result;
}

}  // namespace

std::string EncodeRows(const std::vector<Row>& rows) {
  nlohmann::json array = nlohmann::json::array();
  for (const Row& row : rows) array.push_back(row.ToJson());
  return DumpJson(array);
}

std::vector<Row> DecodeRows(const Table& table, const std::string& text) {
  std::vector<Row> rows;
  const nlohmann::json array = ParseJson(text);
  if (!array.is_array()) return rows;
  for (const nlohmann::json& item : array) {
    if (!item.is_object()) continue;
    Row row;
    for (const Column& column : table.columns) {
      const auto found =
          item.find(JsonName(std::string(column.name), column.kind));
      if (found == item.end()) continue;
      const auto value = ValueFromJson(*found, column.kind);
      if (value.has_value()) row.Set(column.name, *value);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

QueryService::QueryService(ControlContext& context, LocalRows local_rows)
    : context_(context),
      local_rows_(std::move(local_rows)),
      malformed_(context.metrics.counter("peer_messages_malformed_total")) {}

void QueryService::Run(const Query& query, const std::string& text,
                       Revision revision, Reply reply, Time now) {
  const std::uint64_t id = next_id_++;
  OpenQuery& open = open_[id];
  open.query = query;
  open.revision = revision;
  open.reply = std::move(reply);
  open.deadline = now + kAnswerTimeout;
  open.waiting.insert(context_.settings.instance);
  if (IsDistributed(query.table)) {
    for (const auto& [data_centre, instances] : instances_) {
      open.waiting.insert(instances.begin(), instances.end());
    }
    proto::Envelope envelope;
    envelope.mutable_query_request()->set_query(id);
    envelope.mutable_query_request()->set_text(text);
    for (const InstanceId& instance : open.waiting) {
      if (instance != context_.settings.instance) {
        context_.send(instance, envelope);
      }
    }
  }
  local_rows_(query.table, [this, id](std::vector<Row> rows) {
    AddRows(id, context_.settings.instance, std::move(rows));
  });
}

bool QueryService::OnEnvelope(const proto::Envelope& envelope,
                              const InstanceId& sender, Time) {
  if (envelope.body_case() == proto::Envelope::kQueryPart) {
    const proto::QueryPart& part = envelope.query_part();
    const auto found = open_.find(part.query());
    if (found == open_.end()) return true;
    const Table* table = FindTable(found->second.query.table);
    AddRows(part.query(), sender, DecodeRows(*table, part.rows()));
    return true;
  }
  if (envelope.body_case() != proto::Envelope::kQueryRequest) return false;
  const Statement statement = ParseStatement(envelope.query_request().text());
  const auto* query = std::get_if<Query>(&statement);
  if (query == nullptr) {
    malformed_.Add();
    return true;
  }
  const std::uint64_t id = envelope.query_request().query();
  local_rows_(query->table,
              [this, id, sender, query = *query](std::vector<Row> rows) {
                // Filter and limit here to keep the answer small.
                proto::Envelope answer;
                answer.mutable_query_part()->set_query(id);
                answer.mutable_query_part()->set_rows(
                    EncodeRows(Evaluate(query, std::move(rows))));
                context_.send(sender, answer);
              });
  return true;
}

void QueryService::AddRows(std::uint64_t id, const InstanceId& from,
                           std::vector<Row> rows) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  OpenQuery& open = found->second;
  if (open.waiting.erase(from) == 0) return;
  std::move(rows.begin(), rows.end(), std::back_inserter(open.rows));
  if (open.waiting.empty()) Finish(id);
}

nlohmann::json QueryService::UnansweredNames(
    const std::set<InstanceId>& waiting) const {
  nlohmann::json names = nlohmann::json::array();
  for (const auto& [data_centre, instances] : instances_) {
    std::vector<std::string> missing;
    for (const InstanceId& instance : instances) {
      if (waiting.contains(instance)) missing.push_back(instance.value());
    }
    if (missing.empty()) continue;
    if (missing.size() == instances.size()) {
      names.push_back(data_centre.value());
      continue;
    }
    for (const std::string& name : missing) names.push_back(name);
  }
  return names;
}

void QueryService::Finish(std::uint64_t id) {
  OpenQuery open = std::move(open_[id]);
  open_.erase(id);
  nlohmann::json rows = nlohmann::json::array();
  for (const Row& row :
       Evaluate(open.query, WithoutDuplicates(std::move(open.rows)))) {
    rows.push_back(row.ToJson());
  }
  const nlohmann::json answer = {{"revision", open.revision.value()},
                                 {"rows", rows},
                                 {"unanswered", UnansweredNames(open.waiting)}};
  open.reply(200, DumpJson(answer));
}

void QueryService::Tick(Time now) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, open] : open_) {
    if (now >= open.deadline) due.push_back(id);
  }
  for (const std::uint64_t id : due) Finish(id);
}

}  // namespace cassiausher
