// Fetches a newer configuration document from one control instance at a time,
// chunk by chunk. The receiver sets the pace: one request is outstanding, so a
// slow link never carries the same document twice.
#ifndef SERVERS_ENTRY_CONFIGURATION_FETCHER_H_
#define SERVERS_ENTRY_CONFIGURATION_FETCHER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/control/document_store.h"

namespace cassiausher {

struct ConfigurationFetcherOptions {
  InstanceId self;
  /// Sources in this data centre are preferred.
  DataCentreId data_centre;
  /// Wait after a newer version became known. More sources have it by then, and
  /// changes in quick succession are fetched together.
  Duration settle_time = Milliseconds(40);
  /// A source that doesn't answer a request for this long is left for another.
  Duration request_timeout = Seconds(1);
  /// A source that failed isn't asked again for this long, if there is another.
  Duration failure_pause = Seconds(3);
  /// A source that wasn't heard from for this long isn't asked.
  Duration source_lifetime = Seconds(2);
  std::size_t max_compressed_bytes = std::size_t{8} << 20;
};

struct ChunkRequest {
  InstanceId source;
  Revision version{0};
  std::uint64_t offset = 0;
};

/// A complete document, still compressed.
struct FetchedDocument {
  Revision version{0};
  std::string compressed;
};

/// Not thread safe.
class ConfigurationFetcher {
 public:
  explicit ConfigurationFetcher(ConfigurationFetcherOptions options);

  /// A control instance named the version of the document that it holds.
  void OnSource(const InstanceId& source, const DataCentreId& data_centre,
                Revision held, Time now);
  /// Returns the document if this chunk completes it.
  std::optional<FetchedDocument> OnChunk(const InstanceId& source,
                                         const DocumentChunk& chunk);
  /// The document of this version can't be used; it isn't fetched again.
  void Reject(Revision version);

  /// The request to send now, if any. `applied` is the version in use. Call
  /// after the other calls and periodically.
  std::optional<ChunkRequest> NextRequest(Revision applied, Time now);

 private:
  struct Source {
    DataCentreId data_centre;
    Revision held{0};
    Time heard_at{};
    std::optional<Time> failed_at;
  };
  struct Transfer {
    InstanceId source;
    Revision version{0};
    std::string data;
    /// Set while a request is outstanding.
    std::optional<Time> requested_at;
  };

  /// Highest version that a source holds; 0 for none.
  Revision NewestHeld(Time now) const;
  /// Drops a transfer that is needless or whose source doesn't answer.
  void CheckTransfer(Revision applied, Time now);
  /// The preferred source of `version`; empty if none has it.
  InstanceId ChooseSource(Revision version, Time now) const;

  ConfigurationFetcherOptions options_;
  std::map<InstanceId, Source> sources_;
  std::optional<Transfer> transfer_;
  /// Highest version that was rejected.
  Revision rejected_{0};
  /// When a version above the one in use was first seen; empty if there is
  /// none.
  std::optional<Time> newer_since_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_CONFIGURATION_FETCHER_H_
