// The admin listener: operators' queries and changes, state dump, metrics,
// health, and announcements of endpoints.
#ifndef MAIN_DAEMON_ADMIN_TASK_H_
#define MAIN_DAEMON_ADMIN_TASK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/metrics.h"
#include "core/settings.h"
#include "drivers/drain_watch.h"
#include "drivers/http_server.h"
#include "drivers/task.h"
#include "main/daemon/messages.h"
#include "main/daemon/token_table.h"
#include "main/error_body.h"

namespace cassiausher {

class AdminTask : public Task {
 public:
  AdminTask(const Settings& settings, Metrics& metrics,
            std::function<void(ControlMessage)> to_control);
  ~AdminTask() override;

  void Post(AdminMessage message) { mailbox_.Post(std::move(message)); }

  const std::string& listen_error() const { return listen_error_; }
  std::uint16_t port() const { return server_->port(); }
  /// After StopRequested: true while every caller has its answers, or doesn't
  /// read them. Thread-safe.
  bool drained() const { return drained_.load(); }

 protected:
  void OnStart() override;
  void OnStop() override;

 private:
  void On(KeysChanged& message);
  void On(DrainRequested& message);
  void On(StopRequested& message);
  void On(EndOrdered& message);

  void SetKeys(const Settings::Keys& keys);
  /// Runs the task until every caller has its answers. Nothing may run between
  /// this and the end of the server: it would read further requests.
  void SendLastAnswers();
  void HandleHttp(HttpExchangePtr exchange);
  void HandleStatement(HttpExchangePtr exchange);
  void HandleState(HttpExchangePtr exchange);
  void HandleAnnouncement(HttpExchange& exchange);
  /// Returns nullopt after answering 401.
  std::optional<TokenOwner> Authorize(HttpExchange& exchange,
                                      const TokenTable& tokens);
  /// Returns a thread-safe reply function, to be called at most once.
  std::function<void(int, std::string)> ReplyTo(HttpExchangePtr exchange);

  struct Reply {
    HttpExchangePtr exchange;
    int status = 200;
    std::string body;
  };

  const Settings& settings_;
  Metrics& metrics_;
  std::function<void(ControlMessage)> to_control_;
  Counter& announcements_;
  Counter& refused_announcements_;
  TokenTable operators_;
  TokenTable endpoints_;
  std::unique_ptr<HttpServer> server_;
  bool ready_ = true;
  bool stopping_ = false;
  /// Set by a timer and cleared as soon as a request is read.
  std::atomic<bool> drained_{false};
  DrainWatch drain_watch_;
  /// Set once EndOrdered was received.
  std::optional<Time> end_deadline_;
  GSourcePtr drain_timer_;
  std::string listen_error_;
  Mailbox<Reply> replies_;
  Mailbox<AdminMessage> mailbox_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_ADMIN_TASK_H_
