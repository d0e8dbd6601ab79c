// Guards against answers of the leader to an earlier process of the instance.
#include "main/daemon/configuration_service.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cassiausher;  // NOLINT: test file

TEST_GROUP(ConfigurationService){};

// The ids of requests to the leader began at 1 in each process, so that an
// answer to a killed process was taken for one to its successor.
TEST(ConfigurationService, AnswersToAnEarlierProcessAreIgnored) {
  Settings settings;
  settings.instance = InstanceId("spare");
  settings.peers.push_back({.instance = InstanceId("leader"), .voter = true});
  Metrics metrics;
  std::uint64_t sent_id = 0;
  ControlContext context{
      .settings = settings,
      .metrics = metrics,
      .send = [&](const InstanceId&, const proto::Envelope& envelope) {
        sent_id = envelope.change_request().id();
      }};
  ConfigurationService service(context, [](const auto&) {});
  service.SetMembers({}, {InstanceId("leader")}, {}, Time{});
  int answers = 0;
  int status = 0;
  std::string body;
  service.Submit(
      {},
      [&](int code, const std::string& text) {
        ++answers;
        status = code;
        body = text;
      },
      Time{});
  const auto answer = [&](std::uint64_t id) {
    proto::Envelope envelope;
    envelope.mutable_change_reply()->set_id(id);
    envelope.mutable_change_reply()->set_answer("{}");
    service.OnEnvelope(envelope, InstanceId("leader"), Time{});
  };
  // The calls of a process that served a few before it was killed.
  for (std::uint64_t id = 1; id <= 10; ++id) answer(id);
  LONGS_EQUAL(0, answers);
  answer(sent_id);
  LONGS_EQUAL(1, answers);
  LONGS_EQUAL(200, status);
  STRCMP_EQUAL("{}", body.c_str());
  // A repeated message answers nothing twice.
  answer(sent_id);
  LONGS_EQUAL(1, answers);
  // The successor of this process uses other ids.
  const std::uint64_t first_id = sent_id;
  ConfigurationService successor(context, [](const auto&) {});
  successor.SetMembers({}, {InstanceId("leader")}, {}, Time{});
  successor.Submit(
      {}, [](int, const std::string&) {}, Time{});
  CHECK_FALSE(sent_id == first_id);
}
