// Guards against a document that a receiver can't put together, because the
// store changed documents in between or because chunks don't fit.
#include "servers/control/document_store.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/compression.h"
#include "core/random.h"

namespace cassiausher {
namespace {

constexpr std::size_t kChunkBytes = 100;
constexpr std::size_t kDocumentBytes = 2000;

VersionedDocument RandomDocument(std::uint64_t version) {
  Random random(version);
  std::string text;
  while (text.size() < kDocumentBytes) {
    text.push_back(static_cast<char>(random.Below(256)));
  }
  return {Revision(version), text};
}

}  // namespace

TEST_GROUP(DocumentStore) {
  DocumentStore store{{.chunk_bytes = kChunkBytes, .max_documents = 2}};

  // Reads document `version` while `newest` is the newest.
  std::string ReadAll(const VersionedDocument& newest, Revision version) {
    std::string compressed;
    for (;;) {
      const auto chunk = store.ChunkAt(newest, version, compressed.size());
      CHECK_TRUE(chunk.version == version);
      LONGS_EQUAL(compressed.size(), chunk.offset);
      CHECK_TRUE(chunk.data.size() <= kChunkBytes);
      compressed += chunk.data;
      if (compressed.size() == chunk.total_size) break;
    }
    return Decompress(compressed, kDocumentBytes).value();
  }
};

TEST(DocumentStore, ChunksMakeUpTheDocument) {
  const VersionedDocument document = RandomDocument(1);
  CHECK_TRUE(ReadAll(document, Revision(1)) == document.document);
}

TEST(DocumentStore, DocumentInTransferStaysAvailableAfterAChange) {
  const VersionedDocument first = RandomDocument(1);
  const VersionedDocument second = RandomDocument(2);
  store.ChunkAt(first, Revision(1), 0);
  CHECK_TRUE(ReadAll(second, Revision(1)) == first.document);
  CHECK_TRUE(ReadAll(second, Revision(2)) == second.document);
}

TEST(DocumentStore, UnavailableChunkIsReplacedByTheFirstOfTheNewest) {
  for (std::uint64_t version = 1; version <= 3; ++version) {
    store.ChunkAt(RandomDocument(version), Revision(version), 0);
  }
  const VersionedDocument newest = RandomDocument(3);
  for (const Revision requested : {Revision(1), Revision(9), Revision(3)}) {
    const auto chunk = store.ChunkAt(newest, requested, kDocumentBytes * 2);
    CHECK_TRUE(chunk.version == Revision(3));
    LONGS_EQUAL(0, chunk.offset);
  }
}

TEST(DocumentStore, MalformedOrTooLargeTextIsNotDecompressed) {
  const std::string compressed = Compress(std::string(kDocumentBytes, 'a'));
  CHECK_TRUE(Decompress(compressed, kDocumentBytes).has_value());
  CHECK_FALSE(Decompress(compressed, kDocumentBytes - 1).has_value());
  CHECK_FALSE(Decompress("not compressed", kDocumentBytes).has_value());
  for (std::size_t size = 0; size < compressed.size(); ++size) {
    const auto part = std::string_view(compressed).substr(0, size);
    CHECK_FALSE(Decompress(part, kDocumentBytes).has_value());
  }
}

}  // namespace cassiausher
