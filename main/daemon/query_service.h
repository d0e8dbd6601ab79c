// Queries over the whole deployment: requests rows from every instance, merges
// them and names the instances that did not answer.
#ifndef MAIN_DAEMON_QUERY_SERVICE_H_
#define MAIN_DAEMON_QUERY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "main/daemon/control_context.h"
#include "servers/language/query.h"
#include "servers/language/row.h"

namespace cassiausher {

class QueryService {
 public:
  using Reply = std::function<void(int status, std::string json)>;
  /// Passes this instance's rows of a table to `callback`, at once or later on
  /// this task.
  using LocalRows =
      std::function<void(const std::string& table,
                         std::function<void(std::vector<Row>)> callback)>;
  /// Instances of the deployment by data centre, dead ones too.
  using Instances = std::map<DataCentreId, std::set<InstanceId>>;

  QueryService(ControlContext& context, LocalRows local_rows);

  void SetInstances(Instances instances) { instances_ = std::move(instances); }

  void Run(const Query& query, const std::string& text, Revision revision,
           Reply reply, Time now);
  bool OnEnvelope(const proto::Envelope& envelope, const InstanceId& sender,
                  Time now);
  void Tick(Time now);

 private:
  struct OpenQuery {
    Query query;
    Revision revision{0};
    Reply reply;
    std::vector<Row> rows;
    std::set<InstanceId> waiting;
    Time deadline{};
  };

  void AddRows(std::uint64_t id, const InstanceId& from, std::vector<Row> rows);
  void Finish(std::uint64_t id);
  nlohmann::json UnansweredNames(const std::set<InstanceId>& waiting) const;

  ControlContext& context_;
  LocalRows local_rows_;
  Counter& malformed_;
  Instances instances_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, OpenQuery> open_;
};

/// Rows in JSON, the format between instances.
std::string EncodeRows(const std::vector<Row>& rows);
/// Skips values that don't match the table's columns.
std::vector<Row> DecodeRows(const Table& table, const std::string& text);

}  // namespace cassiausher

#endif  // MAIN_DAEMON_QUERY_SERVICE_H_
