#include "drivers/received_body.h"

namespace cassiausher {
namespace {

constexpr const char* kReceivedBodyKey = "cassiausher-received-body";

}  // namespace

ReceivedBody::~ReceivedBody() {
  if (budget) budget->Remove(holder);
}

bool ReceivedBody::Grow(std::int64_t more, Time now) {
  return !budget || budget->Grow(holder, more, now);
}

ReceivedBody& BodyOf(SoupServerMessage* message) {
  auto* object = G_OBJECT(message);
  gpointer data = g_object_get_data(object, kReceivedBodyKey);
  if (data == nullptr) {
    data = new ReceivedBody;
    g_object_set_data_full(object, kReceivedBodyKey, data, [](gpointer body) {
      delete static_cast<ReceivedBody*>(body);
    });
  }
  return *static_cast<ReceivedBody*>(data);
}

}  // namespace cassiausher
