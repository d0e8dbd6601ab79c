// Guards against invalid settings that are accepted, and against errors that
// are reported one at a time.
#include "core/settings.h"

#include <CppUTest/TestHarness.h>

#include <string>

using cassiausher::Findings;
using cassiausher::ParseSettings;
using cassiausher::Settings;

namespace {

constexpr const char* kValidSettings =
    R"({
  "instance": "a-1", "data_centre": "a",
  "listen": {"caller": "127.0.0.1:1", "admin": "127.0.0.1:2", "peer": "127.0.0.1:3"},
  "peers": [{"instance": "a-1", "data_centre": "a", "address": "127.0.0.1:3", "voter": true}],
  "data_folder": "/tmp/a-1", "keys": {}, "limits": {"body_bytes": 2048}, "log": {"level": "debug"}})";

bool HasFindingAt(const Findings& findings, const std::string& place) {
  for (const auto& finding : findings.items()) {
    if (finding.place == place) return true;
  }
  return false;
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, ValidFileIsParsed) {
  Findings findings;
  const Settings settings = ParseSettings(kValidSettings, "f.json", &findings);
  CHECK(findings.empty());
  STRCMP_EQUAL("a-1", settings.instance.value().c_str());
  LONGS_EQUAL(2048, settings.limits.body_bytes);
  LONGS_EQUAL(1, settings.listen.caller.port);
  CHECK(settings.peers.at(0).voter);
}

TEST(Settings, EachOfTenErrorsIsReportedWithItsLocation) {
  Findings findings;
  ParseSettings(R"({
    "instance": "a b", "data_centre": 7,
    "listen": {"caller": "localhost:1", "admin": "127.0.0.1:99999", "peer": "127.0.0.1:3", "port": 1},
    "peers": [{"instance": "x", "data_centre": "a", "address": "127.0.0.1:3", "voter": "yes"}],
    "keys": {"operators": [{"name": "o", "token_sha256": "12", "role": "king"}]},
    "limits": {"body_bytes": 0}, "colour": "red"})",
                "f.json", &findings);
  for (const char* place :
       {"f.json#/instance", "f.json#/data_centre", "f.json#/listen/caller",
        "f.json#/listen/admin", "f.json#/listen/port", "f.json#/peers/0/voter",
        "f.json#/keys/operators/0/token_sha256",
        "f.json#/keys/operators/0/role", "f.json#/limits/body_bytes",
        "f.json#/colour"}) {
    CHECK_TEXT(HasFindingAt(findings, place), place);
  }
}

TEST(Settings, InvalidJsonIsReportedWithLineAndColumn) {
  Findings findings;
  ParseSettings("{\n \"instance\": }", "f.json", &findings);
  LONGS_EQUAL(1, findings.items().size());
  STRCMP_EQUAL("f.json:2:14", findings.items()[0].place.c_str());
}

TEST(Settings, InstanceMissingFromPeersIsReported) {
  Findings findings;
  std::string text = kValidSettings;
  text.replace(text.find("\"a-1\""), 5, "\"a-9\"");
  ParseSettings(text, "f.json", &findings);
  CHECK(HasFindingAt(findings, "f.json#/peers"));
}
