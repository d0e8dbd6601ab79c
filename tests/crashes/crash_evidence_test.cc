// Guards against copies of the evidence that differ after their exchange, or
// that grow without bound.
#include "servers/crashes/crash_evidence.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/random.h"
#include "servers/crashes/sound_traits.h"

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(1000)};
constexpr TraitId kService{7};
constexpr std::size_t kNoLimit = 1 << 20;

EndpointRun Run(int number) {
  return {EndpointId("e" + std::to_string(number)), Incarnation(1)};
}

}  // namespace

TEST_GROUP(CrashEvidence) {
  CrashEvidence first{CrashEvidenceOptions{}};
  CrashEvidence second{CrashEvidenceOptions{}};
};

TEST(CrashEvidence, MergedRecordsAreNotPassedBackAndForth) {
  first.AddCall(Run(1), kService, {TraitId(1)}, kStart);
  first.OnSound(TraitId(1), kStart - Seconds(5));
  first.OnRefusedConnection(Run(1));
  second.Merge(first.ChangedSince(0, kNoLimit, EvidenceScope::kAll));
  LONGS_EQUAL(1, second.crashes().size());
  CHECK_TRUE(second.crashes().at(Run(1)).refuses_connections);
  CHECK_TRUE(second.FindMark(TraitId(1)) != nullptr);
  const std::uint64_t revision = first.revision();
  first.Merge(second.ChangedSince(0, kNoLimit, EvidenceScope::kAll));
  LONGS_EQUAL(revision, first.revision());
}

// A message may be lost, repeated or overtaken.
TEST(CrashEvidence, CopiesAgreeWhateverTheOrderOfMessages) {
  Random random(3);
  for (int i = 0; i < 200; ++i) {
    CrashEvidence& copy = random.Unit() < 0.5 ? first : second;
    const EndpointRun run = Run(static_cast<int>(random.Unit() * 20));
    const TraitId trait(static_cast<std::uint64_t>(random.Unit() * 9));
    const Time now = kStart + Seconds(i);
    const double what = random.Unit();
    if (what < 0.4) copy.AddCall(run, kService, {trait}, now);
    if (what >= 0.4 && what < 0.6) copy.OnAlive(run, now);
    if (what >= 0.6 && what < 0.8) copy.OnSound(trait, now);
    if (what >= 0.8)
      second.Merge(first.ChangedSince(0, kNoLimit, EvidenceScope::kAll));
  }
  for (int i = 0; i < 2; ++i) {
    second.Merge(first.ChangedSince(0, kNoLimit, EvidenceScope::kAll));
    first.Merge(second.ChangedSince(0, kNoLimit, EvidenceScope::kAll));
  }
  for (const auto& [run, crash] : first.crashes()) {
    // What was refuted before its exchange isn't sent.
    if (!CrashedAt(crash).has_value()) continue;
    const Crash& other = second.crashes().at(run);
    CHECK_TRUE(CrashedAt(other).has_value());
    CHECK_TRUE(crash.alive_at == other.alive_at);
    LONGS_EQUAL(crash.calls.size(), other.calls.size());
  }
}

TEST(CrashEvidence, ARunRefusesUntilItAnswersOrItsCrashIsOld) {
  first.AddCall(Run(1), kService, {TraitId(1)}, kStart);
  LONGS_EQUAL(0, first.RefusingSince(kStart).size());
  first.OnRefusedConnection(Run(1));
  second.Merge(first.ChangedSince(0, kNoLimit, EvidenceScope::kAll));
  LONGS_EQUAL(1, second.RefusingSince(kStart).size());
  LONGS_EQUAL(0, second.RefusingSince(kStart + Seconds(1)).size());
  second.OnAlive(Run(1), kStart + Milliseconds(1));
  LONGS_EQUAL(0, second.RefusingSince(kStart).size());
}

TEST(CrashEvidence, ChangesAreSentInPiecesUpToALimit) {
  for (int i = 0; i < 10; ++i) {
    first.AddCall(Run(i), kService, {TraitId(1), TraitId(2)}, kStart);
  }
  std::uint64_t revision = 0;
  int pieces = 0;
  while (revision < first.revision()) {
    const EvidenceChanges changes =
        first.ChangedSince(revision, 4, EvidenceScope::kAll);
    CHECK_TRUE(changes.crashes.size() <= 2);
    revision = changes.revision;
    second.Merge(changes);
    ++pieces;
  }
  LONGS_EQUAL(5, pieces);
  LONGS_EQUAL(10, second.crashes().size());
}

TEST(CrashEvidence, MemoryIsBoundedWhateverCallersSend) {
  const CrashEvidenceOptions options;
  for (int run = 0; run < 1000; ++run) {
    for (std::uint64_t call = 0; call < 100; ++call) {
      first.AddCall(Run(run), kService, {TraitId(1000 * run + call)},
                    kStart + Seconds(run));
      first.OnSound(TraitId(1'000'000 + 1000 * run + call), kStart);
    }
  }
  LONGS_EQUAL(options.max_crashes, first.crashes().size());
  first.Expire(kStart + Seconds(1000));
  CHECK_TRUE(first.suspects().size() <=
             options.max_crashes * options.max_calls_of_crash);
  SoundTraits sound({});
  for (std::uint64_t i = 0; i < 100'000; ++i)
    sound.OnSound({TraitId(i)}, kStart);
  CHECK_TRUE(sound.size() <= 2 * (SoundTraitsOptions().max_traits + 1));
}

}  // namespace cassiausher
