// What operators see of an owned pool: rows for queries, and the state dump.
#ifndef MAIN_DAEMON_POOL_ROWS_H_
#define MAIN_DAEMON_POOL_ROWS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "core/time.h"
#include "main/daemon/messages.h"
#include "servers/language/row.h"
#include "servers/serving/pool_host.h"

namespace cassiausher {

/// Adds a row for each endpoint of the pool.
void AppendEndpointRows(const PoolAddress& address, const PoolHost& host,
                        Time now, std::vector<Row>* rows);
/// The pool and its load; without its lease.
Row OwnerRow(const PoolAddress& address, const PoolHost& host, Time now);
nlohmann::json DumpPool(const PoolAddress& address, const PoolHost& host,
                        Time now);

}  // namespace cassiausher

#endif  // MAIN_DAEMON_POOL_ROWS_H_
