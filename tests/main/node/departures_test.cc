// Guards against an acknowledged departure that is forgotten, so that requests
// are sent to an endpoint that may be gone.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "tests/main/node/control_fixture.h"

using namespace cassiausher;  // NOLINT: test file

TEST_GROUP_BASE(Departures, ControlFixture) {
  /// The endpoint that leaves.
  const std::string path = "/api/instances/e1";

  static const proto::EndpointRecord* Find(const proto::Update& update,
                                           const std::string& id) {
    const auto found =
        std::find_if(update.records().begin(), update.records().end(),
                     [&](const auto& record) { return record.id() == id; });
    return found == update.records().end() ? nullptr : &*found;
  }
  bool Leave(const std::string& method, const std::string& body) {
    return RunUntil([&] { return Call(method, path, body) == 200; });
  }
};

// A control instance that had just started didn't know the endpoint, and
// dropped its departure; entry instances went on sending requests to it.
TEST(Departures, TheDepartureOfAnUnknownEndpointIsPassedOn) {
  StartControl();
  CHECK_TRUE(Leave("DELETE", ""));
  const proto::Update update = AwaitUpdate();
  const proto::EndpointRecord* record = Find(update, "e1");
  CHECK_TRUE(record != nullptr);
  LONGS_EQUAL(proto::ENDPOINT_LIFECYCLE_DEPARTED, record->state());
  LONGS_EQUAL(400,
              Call("DELETE", "/api/instances/" + std::string(300, 'e'), ""));
}
