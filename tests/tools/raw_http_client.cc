#include "tests/tools/raw_http_client.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace cassiausher {
namespace {

constexpr gulong kPollIntervalUs = 200;

int Connect(const std::string& url) {
  const std::size_t host_start = url.find("//") + 2;
  const std::size_t colon = url.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(url.c_str() + colon + 1)));
  inet_pton(AF_INET, url.substr(host_start, colon - host_start).c_str(),
            &address.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    return fd;
  }
  close(fd);
  return -1;
}

}  // namespace

bool RunUntil(const std::function<bool()>& done, int timeout_seconds) {
  const gint64 limit =
      g_get_monotonic_time() + timeout_seconds * G_USEC_PER_SEC;
  while (!done()) {
    if (g_get_monotonic_time() > limit) return done();
    if (!g_main_context_iteration(nullptr, FALSE)) g_usleep(kPollIntervalUs);
  }
  return true;
}

void RunFor(int milliseconds) {
  const gint64 limit = g_get_monotonic_time() + milliseconds * 1000;
  RunUntil([limit] { return g_get_monotonic_time() >= limit; });
}

RawHttpClient::RawHttpClient(const std::string& url, const std::string& path,
                             const std::string& body,
                             const std::string& headers,
                             const std::string& method)
    : fd_(Connect(url)) {
  const std::string request = fmt::format(
      "{} {} HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n{}\r\n{}", method,
      path, body.size(), headers, body);
  if (fd_ < 0 || send(fd_, request.data(), request.size(), 0) < 0) {
    closed_by_server_ = true;
  }
}

RawHttpClient::~RawHttpClient() { Close(); }

void RawHttpClient::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

void RawHttpClient::Poll() {
  constexpr std::size_t kBufferSize = 65536;
  char buffer[kBufferSize];
  while (fd_ >= 0) {
    const ssize_t size = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size == 0) closed_by_server_ = true;
    if (size <= 0) return;
    received_.append(buffer, static_cast<std::size_t>(size));
  }
}

bool RawHttpClient::WaitFor(const std::string& text) {
  return RunUntil([&] {
    Poll();
    return received_.find(text) != std::string::npos;
  });
}

std::string RawHttpClient::ReadBody() {
  RunUntil([this] {
    Poll();
    return closed_by_server_ || IsComplete();
  });
  return DecodeBody(received_);
}

int RawHttpClient::status() const {
  constexpr std::size_t kStatusOffset = 9;
  return received_.size() < kStatusOffset
             ? 0
             : std::atoi(received_.c_str() + kStatusOffset);
}

bool RawHttpClient::IsComplete() const {
  const std::size_t end = received_.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  const std::size_t length = received_.find("Content-Length: ");
  if (length != std::string::npos && length < end) {
    return received_.size() >= end + 4 +
                                   static_cast<std::size_t>(std::atoi(
                                       received_.c_str() + length + 16));
  }
  return received_.ends_with("\r\n0\r\n\r\n");
}

std::string DecodeBody(const std::string& response) {
  const std::size_t head = response.find("\r\n\r\n");
  if (head == std::string::npos) return {};
  std::size_t at = head + 4;
  if (response.find("chunked") > head) return response.substr(at);
  std::string body;
  while (at < response.size()) {
    const std::size_t line = response.find("\r\n", at);
    if (line == std::string::npos) break;
    const std::size_t size = std::strtoul(response.c_str() + at, nullptr, 16);
    body += response.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  return body;
}

}  // namespace cassiausher
