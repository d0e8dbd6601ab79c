// Sends one HTTP request on its own connection and lets the test control when
// the connection is read and closed.
#ifndef TESTS_TOOLS_RAW_HTTP_CLIENT_H_
#define TESTS_TOOLS_RAW_HTTP_CLIENT_H_

#include <functional>
#include <string>

namespace cassiausher {

/// Iterates the default main context until `done` returns true or the timeout
/// expires. Returns the last result of `done`.
bool RunUntil(const std::function<bool()>& done, int timeout_seconds = 5);
/// Iterates the default main context for `milliseconds`.
void RunFor(int milliseconds);

class RawHttpClient {
 public:
  /// Sends the request. `headers` are complete lines, each ending with "\r\n".
  RawHttpClient(const std::string& url, const std::string& path,
                const std::string& body, const std::string& headers = "",
                const std::string& method = "POST");
  ~RawHttpClient();
  RawHttpClient(const RawHttpClient&) = delete;
  RawHttpClient& operator=(const RawHttpClient&) = delete;

  void Close();
  /// Reads the available data without blocking.
  void Poll();
  /// Waits until the received data contains `text`; false after a timeout.
  bool WaitFor(const std::string& text);
  /// Waits for the complete answer and returns its decoded body.
  std::string ReadBody();
  /// HTTP status, or 0 before the status line has arrived.
  int status() const;
  const std::string& received() const { return received_; }
  bool closed_by_server() const { return closed_by_server_; }

 private:
  bool IsComplete() const;

  int fd_ = -1;
  bool closed_by_server_ = false;
  std::string received_;
};

/// Returns the body of `response`, with the chunked encoding removed.
std::string DecodeBody(const std::string& response);

}  // namespace cassiausher

#endif  // TESTS_TOOLS_RAW_HTTP_CLIENT_H_
