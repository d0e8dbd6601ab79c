// Guards against partial, duplicate and reordered events when a stream breaks
// inside an event and resumes at another endpoint.
#include "servers/entry/event_splitter.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/random.h"

namespace cassiausher {

TEST_GROUP(EventSplitter) { EventSplitter splitter; };

TEST(EventSplitter, ReturnsOnlyCompleteEvents) {
  STRCMP_EQUAL("", splitter.Feed("id: 1\ndata: a").c_str());
  STRCMP_EQUAL("id: 1\ndata: ab\n\n", splitter.Feed("b\n\nid").c_str());
  LONGS_EQUAL(1, splitter.last_id().value());
  STRCMP_EQUAL("id", splitter.incomplete_event().c_str());
}

// An endpoint sent an event that never ended, and all of it was kept.
TEST(EventSplitter, EventWithoutEndExceedsTheLimit) {
  const std::string piece(8 << 10, 'x');
  std::size_t fed = 0;
  while (!splitter.over_limit() && fed <= 2 * EventSplitter::kMaxEventBytes) {
    splitter.Feed(piece);
    fed += piece.size();
  }
  CHECK_TRUE(splitter.over_limit());
  CHECK(fed <= EventSplitter::kMaxEventBytes + piece.size());
}

TEST(EventSplitter, LargeEventsInSmallPiecesAreReturnedWhole) {
  const std::string event =
      "id: 1\ndata: " + std::string(1000000, 'x') + "\n\n";
  std::string returned;
  for (std::size_t at = 0; at < event.size(); at += 1000) {
    returned += splitter.Feed(event.substr(at, 1000));
    CHECK_FALSE(splitter.over_limit());
  }
  CHECK(event == returned);
}

TEST(EventSplitter, DropsEventsThatTheCallerHas) {
  EventSplitter resumed(std::optional<std::int64_t>(2));
  STRCMP_EQUAL("id: 3\n\n", resumed.Feed("id: 2\n\nid: 3\n\n").c_str());
}

TEST(EventSplitter, AcceptsCrLfLineEndings) {
  STRCMP_EQUAL("id: 1\r\n\r\n", splitter.Feed("id: 1\r\n\r\n").c_str());
  LONGS_EQUAL(1, splitter.last_id().value());
}

TEST(EventSplitter, PassesOnAnEventWithoutId) {
  STRCMP_EQUAL("data: x\n\n", splitter.Feed("data: x\n\n").c_str());
  CHECK_FALSE(splitter.last_id().has_value());
}

TEST(EventSplitter, ResumeAfterAnyCutYieldsTheWholeStream) {
  std::string whole;
  for (int id = 1; id <= 20; ++id) {
    whole += "id: " + std::to_string(id) +
             "\ndata: " + std::string(static_cast<std::size_t>(id % 7), 'x') +
             "\n\n";
  }
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    EventSplitter first;
    const std::size_t cut = random.Below(whole.size());
    std::string relayed;
    for (std::size_t at = 0; at < cut;) {
      const std::size_t size =
          std::min<std::size_t>(1 + random.Below(30), cut - at);
      relayed += first.Feed(whole.substr(at, size));
      at += size;
    }
    EventSplitter second(first.last_id());
    relayed += second.Feed(whole);
    STRCMP_EQUAL(whole.c_str(), relayed.c_str());
  }
}

}  // namespace cassiausher
