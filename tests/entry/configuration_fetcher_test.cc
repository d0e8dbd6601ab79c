// Guards against a document that is requested twice at the same time (incident
// inc1), and against an entry instance that waits for a source that is gone.
#include "servers/entry/configuration_fetcher.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace cassiausher {
namespace {

const InstanceId near_source{"10.1.0.1"};
const InstanceId far_source{"10.2.0.1"};
const DataCentreId own_data_centre{"dc1"};
const DataCentreId other_data_centre{"dc2"};
constexpr Time kStart{Seconds(100)};
constexpr Duration kSettled = Milliseconds(50);
constexpr Revision kOld{4};
constexpr Revision kNew{7};

DocumentChunk ChunkOf(Revision version, std::uint64_t offset,
                      std::string_view data, std::uint64_t total_size) {
  return {.version = version,
          .offset = offset,
          .total_size = total_size,
          .data = data};
}

}  // namespace

TEST_GROUP(ConfigurationFetcher) {
  ConfigurationFetcher fetcher{
      {.self = InstanceId("10.1.0.9"), .data_centre = own_data_centre}};

  void Announce(Revision near_version, Revision far_version, Time now) {
    fetcher.OnSource(near_source, own_data_centre, near_version, now);
    fetcher.OnSource(far_source, other_data_centre, far_version, now);
  }

  // Requests after both sources have had the new version for a while.
  ChunkRequest FirstRequest() {
    Announce(kNew, kNew, kStart);
    CHECK_FALSE(fetcher.NextRequest(kOld, kStart).has_value());
    return fetcher.NextRequest(kOld, kStart + kSettled).value();
  }
};

TEST(ConfigurationFetcher, SourceInTheOwnDataCentreIsPreferred) {
  const ChunkRequest request = FirstRequest();
  CHECK_TRUE(request.source == near_source);
  CHECK_TRUE(request.version == kNew);
  LONGS_EQUAL(0, request.offset);
}

// Incident inc1: six control instances sent the same document to one entry
// instance again and again while its link was full.
TEST(ConfigurationFetcher, NothingIsRequestedWhileARequestIsOutstanding) {
  FirstRequest();
  for (int i = 1; i <= 9; ++i) {
    const Time now = kStart + kSettled + i * Milliseconds(100);
    Announce(kNew, Revision(7 + i), now);
    CHECK_FALSE(fetcher.NextRequest(kOld, now).has_value());
  }
}

TEST(ConfigurationFetcher, ChunksAreRequestedOneAfterTheOther) {
  FirstRequest();
  CHECK_FALSE(
      fetcher.OnChunk(near_source, ChunkOf(kNew, 0, "abc", 5)).has_value());
  const auto request = fetcher.NextRequest(kOld, kStart + kSettled);
  LONGS_EQUAL(3, request->offset);
  const auto document = fetcher.OnChunk(near_source, ChunkOf(kNew, 3, "de", 5));
  CHECK_TRUE(document->version == kNew);
  STRCMP_EQUAL("abcde", document->compressed.c_str());
  CHECK_FALSE(fetcher.NextRequest(kNew, kStart + kSettled).has_value());
}

TEST(ConfigurationFetcher, AnotherSourceIsAskedAfterTheTimeout) {
  FirstRequest();
  const Time late = kStart + kSettled + Seconds(1);
  Announce(kNew, kNew, late);
  CHECK_FALSE(fetcher.NextRequest(kOld, late).has_value());
  const auto request = fetcher.NextRequest(kOld, late + kSettled);
  CHECK_TRUE(request->source == far_source);
}

TEST(ConfigurationFetcher, SilentSourceIsNotAsked) {
  Announce(kNew, kNew, kStart);
  const Time late = kStart + Seconds(3);
  fetcher.OnSource(far_source, other_data_centre, kNew, late);
  fetcher.NextRequest(kOld, late);
  CHECK_TRUE(fetcher.NextRequest(kOld, late + kSettled)->source == far_source);
}

// A control instance that started anew may deliver an older document at first.
TEST(ConfigurationFetcher, OlderOrMisplacedChunkIsIgnored) {
  FirstRequest();
  CHECK_FALSE(
      fetcher.OnChunk(near_source, ChunkOf(kOld, 0, "x", 1)).has_value());
  CHECK_FALSE(
      fetcher.OnChunk(near_source, ChunkOf(kNew, 1, "x", 2)).has_value());
  CHECK_FALSE(
      fetcher.OnChunk(far_source, ChunkOf(kNew, 0, "x", 1)).has_value());
  CHECK_TRUE(
      fetcher.OnChunk(near_source, ChunkOf(kNew, 0, "x", 1)).has_value());
}

TEST(ConfigurationFetcher, NewerDocumentThanRequestedStartsAnew) {
  FirstRequest();
  const Revision newer(9);
  CHECK_FALSE(
      fetcher.OnChunk(near_source, ChunkOf(newer, 0, "a", 2)).has_value());
  const auto request = fetcher.NextRequest(kOld, kStart + kSettled);
  CHECK_TRUE(request->version == newer);
  LONGS_EQUAL(1, request->offset);
}

TEST(ConfigurationFetcher, RejectedDocumentIsNotFetchedAgain) {
  FirstRequest();
  fetcher.OnChunk(near_source, ChunkOf(kNew, 0, "x", 1));
  fetcher.Reject(kNew);
  const Time late = kStart + Seconds(1);
  Announce(kNew, kNew, late);
  fetcher.NextRequest(kOld, late);
  CHECK_FALSE(fetcher.NextRequest(kOld, late + kSettled).has_value());
}

}  // namespace cassiausher
