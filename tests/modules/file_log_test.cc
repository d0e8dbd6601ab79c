// Guards against a file log that loses synced data, applies part of a write or
// does not report corruption. Truncation, bit flips and a full disk are
// injected at every byte of a small log.
#include "modules/file_log/file_log.h"

#include <CppUTest/TestHarness.h>

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "modules/file_log/register_types.h"
#include "tests/modules/fault_file_system.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

/// Value or error of a storage operation.
template <typename Value>
struct Outcome {
  std::optional<Value> value;
  std::optional<StorageError> error;
};

template <typename Operation>
auto Attempt(Operation operation) {
  using Value = std::remove_cvref_t<decltype(operation().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Outcome<Value>> {
        BOOST_LEAF_AUTO(value, operation());
        return Outcome<Value>{std::move(value), std::nullopt};
      },
      [](const StorageError& error) {
        return Outcome<Value>{std::nullopt, error};
      },
      [] { return Outcome<Value>{}; });
}

/// Returns the error of a storage operation, or nullopt if it succeeded.
template <typename Operation>
std::optional<StorageError> ErrorOf(Operation operation) {
  auto wrapped = [&]() -> boost::leaf::result<int> {
    BOOST_LEAF_CHECK(operation());
    return 0;
  };
  return Attempt(wrapped).error;
}

template <typename Value>
bool Succeeded(const boost::leaf::result<Value>& result) {
  return static_cast<bool>(result);
}

LogEntry Entry(LogIndex index, Term term = 1) {
  return {index, term, EntryKind::kData, "entry " + std::to_string(index)};
}

Snapshot SnapshotAt(LogIndex index, Term term = 1) {
  RaftConfiguration configuration;
  configuration.group = 1;
  configuration.voters = {{InstanceId("a"), 1}};
  return {index, term, configuration, "state " + std::to_string(index)};
}

constexpr FileLogOptions kSmallSegments{.segment_bytes = 600};

std::unique_ptr<FileLog> OpenLog(FaultDisk& disk, FileLogOptions options = {}) {
  return std::make_unique<FileLog>(std::make_unique<FaultFileSystem>(disk),
                                   options);
}

Outcome<StoredState> LoadFrom(FaultDisk& disk, FileLogOptions options = {}) {
  auto log = OpenLog(disk, options);
  return Attempt([&] { return log->Load(); });
}

constexpr std::uint64_t kUnlimited = 1'000'000'000;

/// Spans up to four sectors.
LogEntry LargeEntry(LogIndex index, Random& random) {
  LogEntry entry = Entry(index);
  entry.data.resize(100 + random.Below(1900), 'x');
  return entry;
}

/// Appends `count` entries, each with its own hard state and sync.
void Fill(FileLog& log, LogIndex first, LogIndex count) {
  for (LogIndex index = first; index < first + count; ++index) {
    CHECK(Succeeded(log.SaveHardState({1, {}, index - 1, 42})));
    CHECK(Succeeded(log.Append({Entry(index)})));
    CHECK(Succeeded(log.Sync()));
  }
}

/// Changes entries, hard state and snapshot, and kills the process at a random
/// operation of the sync.
void WriteAndKill(FaultDisk& disk, FileLog& log, Random& random) {
  CHECK(Succeeded(log.SaveHardState({7, {InstanceId("b"), 7}, 0, 42})));
  CHECK(Succeeded(log.TruncateSuffix(1)));
  for (LogIndex index = 1; index <= 1 + random.Below(8); ++index) {
    CHECK(Succeeded(log.Append({Entry(index, 7)})));
  }
  if (random.Chance(0.3)) {
    CHECK(Succeeded(log.SaveSnapshot(SnapshotAt(1, 7))));
  }
  disk.operations_left = random.Below(12);
  static_cast<void>(ErrorOf([&] { return log.Sync(); }));
  disk.operations_left = kUnlimited;
}

}  // namespace

TEST_GROUP(FileLog) {
  FaultDisk disk;
  /// Printed if the test fails; 0 in tests without random faults.
  std::uint64_t seed = 0;

  void teardown() override {
    if (seed != 0 && UtestShell::getCurrent()->hasFailed()) {
      std::printf("seed %lu\n", seed);
    }
  }

  void CheckEntries(const StoredState& state, LogIndex first, LogIndex last) {
    LONGS_EQUAL(last + 1 - first, state.entries.size());
    for (std::size_t i = 0; i < state.entries.size(); ++i) {
      CHECK(state.entries[i] == Entry(first + i));
    }
  }
};

// Guards against a reopened log that lacks synced changes or contains unsynced
// ones.
TEST(FileLog, ReopenedLogContainsExactlySyncedChanges) {
  {
    auto log = OpenLog(disk);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 10);
    CHECK(Succeeded(log->TruncateSuffix(8)));
    CHECK(Succeeded(log->Append({Entry(8), Entry(9)})));
    CHECK(Succeeded(log->SaveHardState({3, {InstanceId("b"), 7}, 5, 42})));
    CHECK(Succeeded(log->Sync()));
    CHECK(Succeeded(log->Append({Entry(10)})));
  }
  const auto loaded = LoadFrom(disk);
  CHECK(loaded.value.has_value());
  CheckEntries(*loaded.value, 1, 9);
  CHECK(loaded.value->hard_state ==
        (HardState{3, {InstanceId("b"), 7}, 5, 42}));
  CHECK(loaded.value->findings.empty());
}

// Guards against a crash during an unsynced write that makes the log unusable
// or loses the records before it. The tail is truncated or zeroed from every
// byte on, and the repair must be reported to the operator once.
TEST(FileLog, TailTruncatedAtAnyByteKeepsPrecedingRecords) {
  {
    auto log = OpenLog(disk);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 6);
  }
  const std::string name = disk.current.begin()->first;
  const std::size_t size = disk.current[name]->current.size();
  std::size_t without_finding = 0;
  LogIndex previous = 0;
  for (std::size_t cut = 0; cut <= size; ++cut) {
    for (const bool zeros : {false, true}) {
      FaultDisk copy = disk.Copy();
      copy.current[name]->current.resize(cut);
      if (zeros) copy.current[name]->current.resize(size, '\0');
      const auto loaded = LoadFrom(copy);
      CHECK_TEXT(loaded.value.has_value(), "a torn tail was not repaired");
      const LogIndex last = loaded.value->entries.size();
      CheckEntries(*loaded.value, 1, last);
      CHECK(last >= previous);
      previous = last;
      if (!zeros && loaded.value->findings.empty()) ++without_finding;
      const auto again = LoadFrom(copy);
      CHECK(again.value->findings.empty());
      LONGS_EQUAL(last, again.value->entries.size());
    }
  }
  LONGS_EQUAL(6, previous);
  // A truncation at a record boundary needs no repair: there are 13, after the
  // segment start, 6 hard states and 6 entries.
  LONGS_EQUAL(13, without_finding);
}

// Guards against corruption that loads without an error, or whose error doesn't
// name the file and an offset at or before the corrupt byte.
TEST(FileLog, AnyFlippedBitIsReportedWithFileAndOffset) {
  {
    auto log = OpenLog(disk, kSmallSegments);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 8);
    CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(2))));
    CHECK(Succeeded(log->Sync()));
  }
  CHECK(disk.current.size() >= 3);
  for (const auto& [name, file] : disk.current) {
    for (std::size_t at = 0; at < file->current.size(); ++at) {
      for (int bit = 0; bit < 8; ++bit) {
        FaultDisk copy = disk.Copy();
        copy.current[name]->current[at] ^= static_cast<char>(1 << bit);
        const auto loaded = LoadFrom(copy, kSmallSegments);
        CHECK_TEXT(loaded.error.has_value(), "a flipped bit was not detected");
        CHECK(loaded.error->code == StorageError::Code::kCorrupt);
        STRCMP_EQUAL(("disk/" + name).c_str(), loaded.error->file.c_str());
        CHECK(loaded.error->offset <= at);
      }
    }
  }
}

// Guards against a truncated or missing segment that passes for a torn write
// although later segments follow it.
TEST(FileLog, TruncatedOrMissingEarlierSegmentIsReported) {
  {
    auto log = OpenLog(disk, kSmallSegments);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 20);
  }
  CHECK(disk.current.size() >= 3);
  const std::string second = std::next(disk.current.begin())->first;
  for (std::size_t cut = 0; cut < disk.current[second]->current.size(); ++cut) {
    FaultDisk copy = disk.Copy();
    copy.current[second]->current.resize(cut);
    CHECK(LoadFrom(copy, kSmallSegments).error.has_value());
  }
  FaultDisk copy = disk.Copy();
  copy.current.erase(second);
  const auto loaded = LoadFrom(copy, kSmallSegments);
  CHECK(loaded.error.has_value());
  STRCMP_EQUAL(("disk/" + second).c_str(), loaded.error->file.c_str());
}

// The segments store the votes: a replica that loses them could vote twice in a
// term.
TEST(FileLog, SnapshotWithoutSegmentsIsReported) {
  {
    auto log = OpenLog(disk);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 3);
    CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(2))));
    CHECK(Succeeded(log->Sync()));
  }
  std::erase_if(disk.current,
                [](const auto& file) { return file.first != "snapshot"; });
  CHECK(LoadFrom(disk).error.has_value());
}

// Guards against a partly applied Sync() on a full disk, and against a log that
// does not recover when space is free again.
TEST(FileLog, SyncOnFullDiskAppliesNothingAndSucceedsOnceSpaceIsFree) {
  for (std::uint64_t space = 0; space < 1500; ++space) {
    FaultDisk full;
    auto log = OpenLog(full, kSmallSegments);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 4);
    full.space = space;
    CHECK(Succeeded(log->SaveHardState({5, {}, 4, 42})));
    CHECK(Succeeded(log->Append({Entry(5), Entry(6), Entry(7)})));
    CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(3))));
    CHECK(Succeeded(log->CompactPrefix(3)));
    const auto error = ErrorOf([&] { return log->Sync(); });
    if (error) {
      CHECK(error->code == StorageError::Code::kNoSpace);
      FaultDisk crashed = full.Copy();
      const auto loaded = LoadFrom(crashed, kSmallSegments);
      CHECK(loaded.value.has_value());
      CHECK(loaded.value->hard_state.term == 1);
      LONGS_EQUAL(4, loaded.value->entries.back().index);
      full.space = 10000;
      CHECK(Succeeded(log->Append({Entry(8)})));
      CHECK(!ErrorOf([&] { return log->Sync(); }).has_value());
    }
    const auto loaded = LoadFrom(full, kSmallSegments);
    CHECK(loaded.value.has_value());
    CHECK(loaded.value->findings.empty());
    CheckEntries(*loaded.value, 4, error ? 8 : 7);
    LONGS_EQUAL(5, loaded.value->hard_state.term);
    CHECK(loaded.value->snapshot == SnapshotAt(3));
  }
}

// After a failed sync the kernel may mark pages as clean without having written
// them, so the retry must write the data again and not only sync again.
TEST(FileLog, RetryAfterFailedSyncWritesTheDataAgain) {
  for (std::uint64_t syncs = 0; syncs < 5; ++syncs) {
    FaultDisk failing;
    auto log = OpenLog(failing, kSmallSegments);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 4);
    CHECK(Succeeded(log->Append({Entry(5), Entry(6), Entry(7)})));
    CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(3))));
    failing.syncs_left = syncs;
    const bool failed = ErrorOf([&] { return log->Sync(); }).has_value();
    failing.syncs_left = 1000;
    if (failed) CHECK(!ErrorOf([&] { return log->Sync(); }).has_value());
    Random random(syncs);
    failing.Crash(random);
    const auto loaded = LoadFrom(failing, kSmallSegments);
    CHECK(loaded.value.has_value());
    CheckEntries(*loaded.value, 4, 7);
  }
}

// Guards against a crash that loses synced entries. After each crash the log
// holds all synced entries and possibly later ones, in order.
TEST(FileLog, CrashKeepsAllSyncedEntries) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    FaultDisk crashing;
    LogIndex synced = 0;
    LogIndex snapshot = 0;
    LogIndex last = 0;
    for (int restart = 0; restart < 6; ++restart) {
      auto log = OpenLog(crashing, kSmallSegments);
      const auto loaded = Attempt([&] { return log->Load(); });
      CHECK_TEXT(loaded.value.has_value(),
                 "a crash was reported as corruption");
      const auto& state = *loaded.value;
      const LogIndex base = state.snapshot ? state.snapshot->index : 0;
      CHECK(base >= snapshot);
      const LogIndex found =
          state.entries.empty() ? base : state.entries.back().index;
      CHECK(found >= synced);
      CHECK(found <= last);
      CheckEntries(state, base + 1, found);
      last = synced = found;
      snapshot = base;
      for (int step = 0; step < 30; ++step) {
        if (random.Chance(0.7)) CHECK(Succeeded(log->Append({Entry(++last)})));
        if (random.Chance(0.1) && synced > snapshot) {
          CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(synced))));
          CHECK(Succeeded(log->CompactPrefix(synced)));
          CHECK(Succeeded(log->Sync()));
          snapshot = synced;
          synced = last;
        }
        if (random.Chance(0.05)) {
          crashing.syncs_left = random.Below(4);
          static_cast<void>(ErrorOf([&] { return log->Sync(); }));
          crashing.syncs_left = 1000000;
          break;
        }
        if (random.Chance(0.4)) {
          CHECK(Succeeded(log->Sync()));
          synced = last;
        }
      }
      crashing.Crash(random);
    }
  }
}

// What a log has loaded counts as durable. Guards against a log that loads the
// unsynced changes of a process that was killed and loses them when the power
// fails afterwards.
TEST(FileLog, LoadedChangesOfAKilledProcessSurviveALossOfPower) {
  for (seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    FaultDisk killed;
    auto log = OpenLog(killed, kSmallSegments);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 1 + random.Below(5));
    WriteAndKill(killed, *log, random);
    const auto loaded = LoadFrom(killed, kSmallSegments);
    CHECK_TEXT(loaded.value.has_value(), "a kill was reported as corruption");
    killed.LosePower(random);
    const auto again = LoadFrom(killed, kSmallSegments);
    CHECK_TEXT(again.value.has_value(), "power loss reported as corruption");
    CHECK(again.value->hard_state == loaded.value->hard_state);
    CHECK(again.value->entries == loaded.value->entries);
    CHECK(again.value->snapshot == loaded.value->snapshot);
  }
}

// Guards against a log that takes a write for damage of synced data because
// power failed when only some of its sectors were on the disk.
TEST(FileLog, WriteTornBetweenSectorsIsRepaired) {
  for (seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    FaultDisk torn;
    auto log = OpenLog(torn);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 3);
    for (LogIndex index = 4; index < 5 + random.Below(8); ++index) {
      CHECK(Succeeded(log->Append({LargeEntry(index, random)})));
    }
    // The write takes effect, its sync doesn't.
    torn.operations_left = 1;
    CHECK(ErrorOf([&] { return log->Sync(); }).has_value());
    torn.operations_left = kUnlimited;
    torn.LosePower(random);
    const auto loaded = LoadFrom(torn);
    CHECK_TEXT(loaded.value.has_value(), "a torn write was not repaired");
    CHECK(loaded.value->entries.size() >= 3);
    for (LogIndex index = 1; index <= 3; ++index) {
      CHECK(loaded.value->entries[index - 1] == Entry(index));
    }
  }
}

// Guards against a log that takes bytes behind its last record, which were
// never a synced write, for damage: each start was refused, for good.
TEST(FileLog, NoiseBehindTheLastRecordIsCut) {
  constexpr char kEndOfRecord = '\xA5';
  {
    auto log = OpenLog(disk);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 6);
  }
  const std::string name = disk.current.begin()->first;
  for (seed = 1; seed <= 500; ++seed) {
    Random random(seed);
    FaultDisk copy = disk.Copy();
    std::string& content = copy.current[name]->current;
    for (std::uint64_t left = 1 + random.Below(3000); left > 0; --left) {
      content.push_back(static_cast<char>(random.Below(256)));
    }
    if (content.back() == kEndOfRecord) content.back() = '\x5A';
    const auto loaded = LoadFrom(copy);
    CHECK_TEXT(loaded.value.has_value(), "noise was taken for damage");
    CheckEntries(*loaded.value, 1, 6);
    LONGS_EQUAL(1, loaded.value->findings.items().size());
  }
}

// Guards against a lost sector of a synced write that is taken for a torn write
// although a later write follows it.
TEST(FileLog, LostSectorBeforeALaterWriteIsReported) {
  {
    Random random(1);
    auto log = OpenLog(disk);
    CHECK(Succeeded(log->Load()));
    for (LogIndex index = 1; index <= 6; index += 2) {
      CHECK(Succeeded(log->Append(
          {LargeEntry(index, random), LargeEntry(index + 1, random)})));
      CHECK(Succeeded(log->Sync()));
    }
    Fill(*log, 7, 1);
  }
  const std::string name = disk.current.begin()->first;
  const std::size_t size = disk.current[name]->current.size();
  CHECK(size >= 8 * 512);
  // The last sector may belong to the last write.
  for (std::size_t at = 0; at + 2 * 512 < size; at += 512) {
    FaultDisk copy = disk.Copy();
    copy.current[name]->current.replace(at, 512, 512, '\0');
    const auto loaded = LoadFrom(copy);
    CHECK_TEXT(loaded.error.has_value(), "a lost sector was not detected");
    CHECK(loaded.error->code == StorageError::Code::kCorrupt);
  }
}

// Guards against a partial write that stays in a segment although a later
// segment follows it: the cut after the failed write was not durable.
TEST(FileLog, FailedWriteBeforeANewSegmentDoesNotReturnWhenPowerFails) {
  for (seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    FaultDisk failing;
    auto log = OpenLog(failing, kSmallSegments);
    CHECK(Succeeded(log->Load()));
    const LogIndex filled = 1 + random.Below(4);
    Fill(*log, 1, filled);
    CHECK(Succeeded(log->Append({Entry(filled + 1)})));
    failing.syncs_left = 0;
    CHECK(ErrorOf([&] { return log->Sync(); }).has_value());
    failing.syncs_left = kUnlimited;
    for (LogIndex index = filled + 2; index <= 16; ++index) {
      CHECK(Succeeded(log->Append({Entry(index)})));
    }
    CHECK(Succeeded(log->Sync()));
    failing.LosePower(random);
    const auto loaded = LoadFrom(failing, kSmallSegments);
    CHECK_TEXT(loaded.value.has_value(), "a failed write returned");
    CheckEntries(*loaded.value, 1, 16);
  }
}

// Guards against any loss of synced state over kills, failed syncs, a full disk
// and losses of power in one run.
TEST(FileLog, SyncedStateSurvivesKillsFaultsAndLossesOfPower) {
  constexpr FileLogOptions kOptions{.segment_bytes = 4000};
  for (seed = 1; seed <= 1500; ++seed) {
    Random random(seed);
    FaultDisk faulty;
    HardState synced_state;
    std::vector<LogEntry> written;
    LogIndex synced = 0;
    LogIndex snapshot = 0;
    for (int restart = 0; restart < 5; ++restart) {
      faulty.operations_left = faulty.syncs_left = faulty.space = kUnlimited;
      auto log = OpenLog(faulty, kOptions);
      const auto loaded = Attempt([&] { return log->Load(); });
      CHECK_TEXT(loaded.value.has_value(), "a fault was taken for corruption");
      const StoredState& state = *loaded.value;
      const LogIndex base = state.snapshot ? state.snapshot->index : 0;
      const LogIndex found = base + state.entries.size();
      CHECK(base >= snapshot);
      CHECK(found >= synced && found <= written.size());
      CHECK(state.hard_state.term >= synced_state.term);
      for (const LogEntry& entry : state.entries) {
        CHECK(entry == written[entry.index - 1]);
      }
      written.resize(found);
      synced = found;
      snapshot = base;
      synced_state = state.hard_state;
      HardState next = synced_state;
      if (random.Chance(0.5)) faulty.operations_left = random.Below(60);
      for (int step = 0; step < 20; ++step) {
        const LogIndex index = written.size() + 1;
        const bool large = random.Chance(0.3);
        written.push_back(large ? LargeEntry(index, random) : Entry(index));
        CHECK(Succeeded(log->Append({written.back()})));
        ++next.term;
        CHECK(Succeeded(log->SaveHardState(next)));
        if (random.Chance(0.1) && synced > snapshot) {
          CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(synced))));
          CHECK(Succeeded(log->CompactPrefix(synced)));
          snapshot = synced;
        }
        if (random.Chance(0.1)) faulty.syncs_left = random.Below(3);
        if (random.Chance(0.1)) faulty.space = random.Below(900);
        if (random.Chance(0.5)) faulty.syncs_left = kUnlimited;
        if (random.Chance(0.5)) faulty.space = kUnlimited;
        if (random.Chance(0.4)) continue;
        if (ErrorOf([&] { return log->Sync(); })) continue;
        synced = written.size();
        synced_state = next;
      }
      // A snapshot that was not synced may be lost.
      snapshot = 0;
      if (random.Chance(0.7)) faulty.LosePower(random);
    }
  }
}

// Guards against a log that stays unusable after a crash between saving a
// received snapshot and resetting the log.
TEST(FileLog, SnapshotAheadOfTheLogReplacesTheLog) {
  {
    auto log = OpenLog(disk);
    CHECK(Succeeded(log->Load()));
    Fill(*log, 1, 5);
    CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(9, 2))));
    CHECK(Succeeded(log->Sync()));
  }
  {
    auto log = OpenLog(disk);
    const auto loaded = Attempt([&] { return log->Load(); });
    CHECK(loaded.value->entries.empty());
    LONGS_EQUAL(1, loaded.value->findings.items().size());
    CHECK(Succeeded(log->Append({Entry(10, 2)})));
    CHECK(Succeeded(log->Sync()));
  }
  const auto loaded = LoadFrom(disk);
  CHECK(loaded.value->findings.empty());
  LONGS_EQUAL(1, loaded.value->entries.size());
}

// Guards against disk use that grows with the number of entries although
// snapshots cover them.
TEST(FileLog, SnapshotsBoundTheDiskUse) {
  constexpr FileLogOptions kOptions{.segment_bytes = 16 * 1024};
  auto log = OpenLog(disk, kOptions);
  CHECK(Succeeded(log->Load()));
  std::uint64_t most = 0;
  for (LogIndex index = 1; index <= 20000; ++index) {
    CHECK(Succeeded(log->Append({Entry(index)})));
    if (index % 100 != 0) continue;
    CHECK(Succeeded(log->SaveSnapshot(SnapshotAt(index))));
    CHECK(Succeeded(log->CompactPrefix(index)));
    CHECK(Succeeded(log->Sync()));
    most = std::max(most, disk.UsedBytes());
  }
  // Two segments, the live entries and the snapshot.
  CHECK(most <= 2 * kOptions.segment_bytes + 16 * 1024);
}

TEST_GROUP(FileLogOnDisk) {
  std::string folder;
  void setup() override {
    char name[] = "/tmp/cassiausher-file-log-XXXXXX";
    folder = mkdtemp(name);
    RegisterFileLog();
  }
  void teardown() override { std::filesystem::remove_all(folder); }
};

// The target is a restart within 1 s after 10,000 changes.
TEST(FileLogOnDisk, ReopensTenThousandEntriesWithinOneSecond) {
  constexpr LogIndex kEntries = 10000;
  {
    auto log = LogStorages().Create("file_log", folder);
    CHECK(Succeeded(log->Load()));
    for (LogIndex index = 1; index <= kEntries; ++index) {
      LogEntry entry = Entry(index);
      entry.data.resize(500, 'x');
      CHECK(Succeeded(log->Append({entry})));
      if (index % 500 == 0) CHECK(Succeeded(log->Sync()));
    }
  }
  const auto start = std::chrono::steady_clock::now();
  auto log = LogStorages().Create("file_log", folder);
  const auto loaded = Attempt([&] { return log->Load(); });
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  std::printf("reopening %d entries of 500 bytes took %.1f ms\n",
              static_cast<int>(kEntries),
              static_cast<double>(took.count()) / 1000.0);
  LONGS_EQUAL(kEntries, loaded.value->entries.size());
  CHECK(took < std::chrono::seconds(1));
}

// Guards against two logs on the same directory, which could vote twice in a
// term.
TEST(FileLogOnDisk, SecondLogOnSameDirectoryIsRefused) {
  auto first = LogStorages().Create("file_log", folder);
  CHECK(Succeeded(first->Load()));
  auto second = LogStorages().Create("file_log", folder);
  CHECK(ErrorOf([&] { return second->Load(); }).has_value());
  first.reset();
  auto third = LogStorages().Create("file_log", folder);
  CHECK(Succeeded(third->Load()));
}
