#include "main/daemon/cancel_queue.h"

#include <algorithm>

#include "drivers/clock.h"

namespace cassiausher {
namespace {

constexpr Duration kAnswerTimeout = Milliseconds(500);
constexpr Duration kFirstBackoff = Milliseconds(100);
constexpr Duration kMaxBackoff = Seconds(1);
// After this many unconfirmed attempts the endpoint is reported to the pool
// owner.
constexpr int kReportAfterAttempts = 3;
constexpr int kMaxAttempts = 20;
// Only the status of the answer counts.
constexpr std::int64_t kMaxAnswerBytes = 64 << 10;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

}  // namespace

// One cancel, waiting for its next attempt or for the answer to the current
// one.
class CancelQueue::Job : public HttpCallSink {
 public:
  Job(ServingContext& context, RequestId request, EndpointId endpoint,
      std::string url, PoolAddress pool)
      : context_(context),
        request_(std::move(request)),
        endpoint_(std::move(endpoint)),
        url_(std::move(url)),
        pool_(std::move(pool)) {}
  ~Job() override {
    if (call_ != 0) context_.http.Cancel(call_);
  }

  void Tick(Time now) {
    if (done_ || now < due_) return;
    if (call_ != 0) {
      context_.http.Cancel(call_);
      call_ = 0;
      OnUnconfirmed(now);
      return;
    }
    Send(now);
  }

  bool done() const { return done_; }

  void OnHeaders(int status, SoupMessageHeaders*) override { status_ = status; }
  void OnBody(std::string_view) override {}
  void OnDone(std::string_view, bool) override {
    call_ = 0;
    // 404 means that the endpoint holds nothing; both statuses confirm.
    if (status_ == kStatusOk || status_ == kStatusNotFound) {
      done_ = true;
      return;
    }
    OnUnconfirmed(MonotonicNow());
  }

 private:
  void Send(Time now) {
    const EndpointCall built = context_.driver.BuildCancel(request_, url_);
    // A pooled connection may be dead, so retries open a new one.
    const HttpCall call{.method = built.method,
                        .url = built.url,
                        .headers = built.headers,
                        .content_type = built.content_type,
                        .body = built.body,
                        .new_connection = attempts_ > 0,
                        .max_body_bytes = kMaxAnswerBytes,
                        .repeatable = true};
    status_ = 0;
    due_ = now + kAnswerTimeout;
    context_.metrics.cancels_sent.Add();
    call_ = context_.http.Start(call, this);
  }

  void OnUnconfirmed(Time now) {
    ++attempts_;
    if (attempts_ == kReportAfterAttempts) {
      context_.metrics.cancels_unconfirmed.Add();
      context_.to_control(CancelNotConfirmed{endpoint_, pool_});
    }
    if (attempts_ >= kMaxAttempts) {
      done_ = true;
      return;
    }
    due_ = now +
           std::min(kFirstBackoff * (1 << std::min(attempts_, 4)), kMaxBackoff);
  }

  ServingContext& context_;
  RequestId request_;
  EndpointId endpoint_;
  std::string url_;
  PoolAddress pool_;
  HttpClient::CallId call_ = 0;
  Time due_{};
  int attempts_ = 0;
  int status_ = 0;
  bool done_ = false;
};

CancelQueue::CancelQueue(ServingContext& context) : context_(context) {}
CancelQueue::~CancelQueue() = default;

void CancelQueue::Add(const RequestId& request, const EndpointId& endpoint,
                      const std::string& url, const PoolAddress& pool,
                      Time now) {
  jobs_.push_back(
      std::make_unique<Job>(context_, request, endpoint, url, pool));
  jobs_.back()->Tick(now);
}

void CancelQueue::Tick(Time now) {
  for (const auto& job : jobs_) job->Tick(now);
  jobs_.remove_if([](const auto& job) { return job->done(); });
}

}  // namespace cassiausher
