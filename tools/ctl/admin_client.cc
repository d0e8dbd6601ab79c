// Synchronous HTTP requests with libsoup.
#include "tools/ctl/admin_client.h"

#include <libsoup/soup.h>

#include <utility>

namespace cassiausher {
namespace {

// A change waits for earlier changes, then for its staging and confirmation.
constexpr guint kTimeoutSeconds = 60;

}  // namespace

AdminClient::AdminClient(std::string url, std::string token)
    : url_(std::move(url)), token_(std::move(token)) {
  while (url_.ends_with('/')) url_.pop_back();
  session_.reset(soup_session_new_with_options(
      "timeout", kTimeoutSeconds, "user-agent", "cassiausherctl", nullptr));
}

AdminClient::~AdminClient() = default;

AdminResult AdminClient::Get(const std::string& path) {
  return Call("GET", path, nullptr);
}

AdminResult AdminClient::Post(const std::string& path,
                              const std::string& body) {
  return Call("POST", path, &body);
}

AdminResult AdminClient::Call(const char* method, const std::string& path,
                              const std::string* body) {
  const std::string address = url_ + path;
  GObjectPtr<SoupMessage> message(soup_message_new(method, address.c_str()));
  if (message == nullptr) {
    return Unreachable{"\"" + url_ + "\" is not an HTTP URL"};
  }
  if (!token_.empty()) {
    soup_message_headers_replace(
        soup_message_get_request_headers(message.get()), "Authorization",
        ("Bearer " + token_).c_str());
  }
  if (body != nullptr) {
    const GBytesPtr bytes(g_bytes_new(body->data(), body->size()));
    soup_message_set_request_body_from_bytes(message.get(), "application/json",
                                             bytes.get());
  }
  GError* raw_error = nullptr;
  const GBytesPtr response(soup_session_send_and_read(
      session_.get(), message.get(), nullptr, &raw_error));
  const GErrorPtr error(raw_error);
  if (response == nullptr) return Unreachable{url_ + ": " + error->message};
  gsize size = 0;
  const void* data = g_bytes_get_data(response.get(), &size);
  return HttpResponse{static_cast<int>(soup_message_get_status(message.get())),
                      size == 0
                          ? std::string()
                          : std::string(static_cast<const char*>(data), size)};
}

}  // namespace cassiausher
