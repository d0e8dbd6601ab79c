// A thread with its own GLib main loop. A task owns its sockets and its state;
// other tasks communicate with it only through its mailbox.
#ifndef DRIVERS_TASK_H_
#define DRIVERS_TASK_H_

#include <glib.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/time.h"
#include "drivers/gobject_ptr.h"

namespace cassiausher {

/// Calls `callback` in `context` every `period` until the source is destroyed.
GSourcePtr AddTimer(GMainContext* context, Duration period,
                    std::function<void()> callback);

class Task {
 public:
  explicit Task(std::string name);
  virtual ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /// Starts the thread and returns after its OnStart().
  void Start();
  /// Ends the loop after the current callback and joins the thread. Every
  /// derived class must call it in its destructor, before its members are
  /// destroyed.
  void Stop();

  GMainContext* context() const { return context_; }

 protected:
  /// Opens sockets. Runs on the task's thread.
  virtual void OnStart() {}
  /// Closes sockets. Runs on the task's thread.
  virtual void OnStop() {}

  /// Calls `callback` on the task's thread every `period` until the source is
  /// destroyed.
  GSourcePtr AddTimer(Duration period, std::function<void()> callback);

 private:
  void Run();

  std::string name_;
  GMainContext* context_;
  GMainLoop* loop_;
  std::thread thread_;
};

/// Queue of typed messages to one task. Any thread may post; the handler runs
/// on the task's thread. Messages of one sender are handled in posting order.
template <typename Message>
class Mailbox {
 public:
  Mailbox(GMainContext* context, std::function<void(Message&)> handler)
      : context_(context),
        queue_(std::make_shared<Queue>(std::move(handler))) {}
  /// Must run on the task's thread. Messages not yet handled are dropped.
  ~Mailbox() { queue_->handler = nullptr; }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  void Post(Message message) {
    bool was_empty = false;
    {
      const std::lock_guard lock(queue_->mutex);
      was_empty = queue_->messages.empty();
      queue_->messages.push_back(std::move(message));
    }
    // One wake-up handles all messages posted before it runs.
    if (was_empty) ScheduleDrain();
  }

 private:
  // Shared with the wake-up, which may run after the mailbox is destroyed.
  struct Queue {
    explicit Queue(std::function<void(Message&)> handle)
        : handler(std::move(handle)) {}

    std::function<void(Message&)> handler;
    std::mutex mutex;
    std::vector<Message> messages;
  };

  void ScheduleDrain() {
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
          Drain(**static_cast<std::shared_ptr<Queue>*>(data));
          return G_SOURCE_REMOVE;
        },
        new std::shared_ptr<Queue>(queue_),
        [](gpointer data) {
          delete static_cast<std::shared_ptr<Queue>*>(data);
        });
    g_source_attach(source, context_);
    g_source_unref(source);
  }

  static void Drain(Queue& queue) {
    std::vector<Message> batch;
    {
      const std::lock_guard lock(queue.mutex);
      batch.swap(queue.messages);
    }
    for (Message& message : batch) {
      if (queue.handler) queue.handler(message);
    }
  }

  GMainContext* context_;
  std::shared_ptr<Queue> queue_;
};

}  // namespace cassiausher

#endif  // DRIVERS_TASK_H_
