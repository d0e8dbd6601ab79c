// A grant must be routed to the serving task that requested it, and a caller
// must not be able to choose that task through X-Request-Id.
#include "main/daemon/request_id.h"

#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

TEST_GROUP(RequestId){};

TEST(RequestId, EntryAndTaskAreParsedFromOwnId) {
  const InstanceId instance("bkk-pathum-1");
  for (const char* caller_id : {"", "abc", "a.b:c_d-e"}) {
    const RequestId id = MakeRequestId(caller_id, instance, 3, 255);
    LONGS_EQUAL(3, ServingTaskOf(id, instance));
    CHECK(EntryOf(id) == instance);
  }
}

TEST(RequestId, OtherInstancesAndMalformedIdsHaveNoTask) {
  const RequestId id = MakeRequestId("x", InstanceId("a"), 0, 1);
  LONGS_EQUAL(-1, ServingTaskOf(id, InstanceId("b")));
  for (const char* text : {"", "~", "~~", "~~~", "a~b~c", "x~a~zz~1"}) {
    LONGS_EQUAL(-1, ServingTaskOf(RequestId(text), InstanceId("a")));
  }
}

TEST(RequestId, CallerIdWithSeparatorIsRejected) {
  CHECK(IsCallerRequestId("order-17"));
  CHECK_FALSE(IsCallerRequestId("x~a~0~1"));
  CHECK_FALSE(IsCallerRequestId(""));
  CHECK_FALSE(IsCallerRequestId(std::string(65, 'a')));
}
