#include "servers/control/document_store.h"

#include "core/compression.h"

namespace cassiausher {

DocumentChunk DocumentStore::ChunkAt(const VersionedDocument& newest,
                                     Revision version, std::uint64_t offset) {
  const Compressed& fallback = Newest(newest);
  for (const Compressed& document : documents_) {
    if (document.version != version) continue;
    if (offset < document.data.size()) return Chunk(document, offset);
  }
  return Chunk(fallback, 0);
}

const DocumentStore::Compressed& DocumentStore::Newest(
    const VersionedDocument& newest) {
  if (documents_.empty() || documents_.back().version < newest.version) {
    documents_.push_back({newest.version, Compress(newest.document)});
    if (documents_.size() > options_.max_documents) documents_.pop_front();
  }
  return documents_.back();
}

DocumentChunk DocumentStore::Chunk(const Compressed& document,
                                   std::uint64_t offset) const {
  return {
      .version = document.version,
      .offset = offset,
      .total_size = document.data.size(),
      .data =
          std::string_view(document.data).substr(offset, options_.chunk_bytes)};
}

}  // namespace cassiausher
