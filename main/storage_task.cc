#include "main/storage_task.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"

namespace cassiausher {
namespace {

// Interval between sync attempts after a failure, such as a full disk.
constexpr Duration kRetryPeriod = Milliseconds(200);
// The control instances count on heartbeats in less.
constexpr Duration kSlowDisk = Milliseconds(200);

// Runs a storage operation and returns its error text, empty on success.
template <typename Operation>
std::string Try(Operation operation) {
  namespace leaf = boost::leaf;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(operation());
        return std::string();
      },
      [](const StorageError& error) { return ToString(error); },
      [] { return std::string("unknown storage error"); });
}

}  // namespace

StorageTask::StorageTask(std::unique_ptr<LogStorage> storage, Metrics& metrics,
                         StorageEvents events)
    : Task("storage"),
      storage_(std::move(storage)),
      events_(std::move(events)),
      syncs_(metrics.counter("log_syncs_total")),
      failures_(metrics.counter("log_write_failures_total")),
      sync_time_(metrics.distribution("log_sync_seconds")),
      write_time_(metrics.distribution("log_write_seconds")),
      mailbox_(context(), [this](RaftOutput& output) { Handle(output); }) {}

StorageTask::~StorageTask() { Stop(); }

void StorageTask::Persist(RaftOutput output) {
  mailbox_.Post(std::move(output));
}

void StorageTask::Handle(RaftOutput& output) {
  if (broken_) return;
  const Time start = MonotonicNow();
  const std::string error =
      Try([&] { return cassiausher::Persist(output, *storage_); });
  OnDiskAnswers("write", MonotonicNow() - start, &write_time_);
  if (!error.empty()) {
    // The batch couldn't be appended to the log: memory and disk diverged.
    // Reporting a later batch as durable would acknowledge this one too.
    broken_ = true;
    ReportFailure(error);
    return;
  }
  unsynced_batch_ = output.batch;
  // A batch with only a newer commit index may be lost in a crash.
  if (!output.must_sync && !sync_pending_) {
    events_.persisted(unsynced_batch_);
    return;
  }
  if (sync_pending_) return;
  // Batches that are queued behind this one share its sync.
  sync_pending_ = true;
  GSource* source = g_idle_source_new();
  g_source_set_callback(
      source,
      [](gpointer self) -> gboolean {
        static_cast<StorageTask*>(self)->SyncNow();
        return G_SOURCE_REMOVE;
      },
      this, nullptr);
  g_source_attach(source, context());
  g_source_unref(source);
}

void StorageTask::SyncNow() {
  if (broken_) return;
  const Time start = MonotonicNow();
  const std::string error = Try([&] { return storage_->Sync(); });
  syncs_.Add();
  OnDiskAnswers("sync", MonotonicNow() - start, &sync_time_);
  if (!error.empty()) {
    ReportFailure(error);
    if (!retry_) retry_ = AddTimer(kRetryPeriod, [this] { SyncNow(); });
    return;
  }
  sync_pending_ = false;
  if (failing_) Log(LogLevel::kInfo, "log_storage_recovered");
  failing_ = false;
  // Destroying the timer inside its own callback is safe: GLib keeps the
  // source until the callback returns.
  retry_.reset();
  events_.persisted(unsynced_batch_);
}

void StorageTask::OnDiskAnswers(std::string_view operation, Duration took,
                                Distribution* times) {
  times->Record(took);
  if (took < kSlowDisk) return;
  Log(LogLevel::kWarning, "log_disk_slow",
      {{"operation", operation}, {"took_ms", ToMilliseconds(took)}});
}

void StorageTask::ReportFailure(const std::string& what) {
  failures_.Add();
  if (!failing_) {
    Log(LogLevel::kError, "log_storage_failed", {{"error", what}});
  }
  failing_ = true;
  events_.failed();
}

}  // namespace cassiausher
