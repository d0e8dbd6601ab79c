// Synchronous client of the admin API.
#ifndef TOOLS_CTL_ADMIN_CLIENT_H_
#define TOOLS_CTL_ADMIN_CLIENT_H_

#include <string>
#include <variant>

#include "drivers/gobject_ptr.h"

typedef struct _SoupSession SoupSession;

namespace cassiausher {

struct HttpResponse {
  int status = 0;
  std::string body;
};

/// No HTTP response was received, or the URL is invalid.
struct Unreachable {
  std::string reason;
};

using AdminResult = std::variant<HttpResponse, Unreachable>;

class AdminClient {
 public:
  /// `url` is the admin URL of an instance; an empty `token` sends no
  /// Authorization header.
  AdminClient(std::string url, std::string token);
  ~AdminClient();

  AdminResult Get(const std::string& path);
  AdminResult Post(const std::string& path, const std::string& body);

 private:
  AdminResult Call(const char* method, const std::string& path,
                   const std::string* body);

  std::string url_;
  std::string token_;
  GObjectPtr<SoupSession> session_;
};

}  // namespace cassiausher

#endif  // TOOLS_CTL_ADMIN_CLIENT_H_
