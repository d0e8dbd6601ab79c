// The documents that a control instance delivers to entry instances, compressed
// and in chunks.
#ifndef SERVERS_CONTROL_DOCUMENT_STORE_H_
#define SERVERS_CONTROL_DOCUMENT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "servers/control/configuration_register.h"

namespace cassiausher {

/// Part of a compressed document.
struct DocumentChunk {
  Revision version{0};
  std::uint64_t offset = 0;
  /// Size of the whole compressed document.
  std::uint64_t total_size = 0;
  std::string_view data;
};

struct DocumentStoreOptions {
  /// Small enough that a heartbeat behind it isn't late on a slow link.
  std::size_t chunk_bytes = std::size_t{64} << 10;
  /// Earlier documents stay available, so that a receiver can finish the one
  /// that it has begun while changes follow each other quickly.
  std::size_t max_documents = 4;
};

/// Not thread safe. Compresses a document when it is first requested.
class DocumentStore {
 public:
  explicit DocumentStore(DocumentStoreOptions options) : options_(options) {}

  /// Returns the chunk at `offset` of document `version`, or the first chunk of
  /// `newest` if there is no such document or offset. `data` is valid until the
  /// next call.
  DocumentChunk ChunkAt(const VersionedDocument& newest, Revision version,
                        std::uint64_t offset);

 private:
  struct Compressed {
    Revision version{0};
    std::string data;
  };

  const Compressed& Newest(const VersionedDocument& newest);
  DocumentChunk Chunk(const Compressed& document, std::uint64_t offset) const;

  DocumentStoreOptions options_;
  /// Ascending by version; at most `max_documents`.
  std::deque<Compressed> documents_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_DOCUMENT_STORE_H_
