#include "drivers/task.h"

#include <pthread.h>

#include <future>

namespace cassiausher {

Task::Task(std::string name)
    : name_(std::move(name)),
      context_(g_main_context_new()),
      loop_(g_main_loop_new(context_, FALSE)) {}

Task::~Task() {
  Stop();
  g_main_loop_unref(loop_);
  g_main_context_unref(context_);
}

void Task::Start() {
  std::promise<void> started;
  thread_ = std::thread([this, &started] {
    // Linux limits thread names to 15 characters.
    pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
    g_main_context_push_thread_default(context_);
    OnStart();
    started.set_value();
    Run();
  });
  started.get_future().wait();
}

void Task::Run() {
  g_main_loop_run(loop_);
  OnStop();
  g_main_context_pop_thread_default(context_);
}

void Task::Stop() {
  if (!thread_.joinable()) return;
  GSource* quit = g_idle_source_new();
  g_source_set_callback(
      quit,
      [](gpointer loop) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_REMOVE;
      },
      loop_, nullptr);
  g_source_attach(quit, context_);
  g_source_unref(quit);
  thread_.join();
}

GSourcePtr Task::AddTimer(Duration period, std::function<void()> callback) {
  return cassiausher::AddTimer(context_, period, std::move(callback));
}

GSourcePtr AddTimer(GMainContext* context, Duration period,
                    std::function<void()> callback) {
  const auto period_ms = static_cast<guint>(
      std::chrono::duration_cast<std::chrono::milliseconds>(period).count());
  GSource* source = g_timeout_source_new(period_ms);
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_CONTINUE;
      },
      new std::function<void()>(std::move(callback)),
      [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
  g_source_attach(source, context);
  return GSourcePtr(source);
}

}  // namespace cassiausher
