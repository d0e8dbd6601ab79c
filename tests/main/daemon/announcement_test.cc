// Malformed announcements must be rejected, so that wrong values don't enter
// the endpoint directory.
#include "main/daemon/announcement.h"

#include <CppUTest/TestHarness.h>

#include <string>

using cassiausher::Findings;
using cassiausher::ParseAnnouncement;

namespace {

constexpr const char* kValid =
    R"({"name":"d1","data_centre":"dc","service":"s",
  "role":"decode","url":"http://127.0.0.1:1","models":["s"],"slots":20,
  "kv_capacity_bytes":1000,"prefill_tokens_per_second":20000.0,
  "kv_bytes_per_token":10,"fencing":false,"incarnation":3,"departing":true,
  "load":{"sequence":5,"age_ms":200,"running":2,"waiting":1,
          "queued_prompt_tokens":7,"kv_bytes":9},
  "cache_events":[{"sequence":1,"kind":"stored","prefix_hash":18446744073709551615}]})";

}  // namespace

TEST_GROUP(Announcement){};

TEST(Announcement, ValidAnnouncementIsParsed) {
  Findings findings;
  const auto message = ParseAnnouncement(kValid, &findings);
  CHECK(findings.empty());
  LONGS_EQUAL(20, message.slots());
  CHECK(message.departing());
  CHECK_FALSE(message.honours_fencing());
  LONGS_EQUAL(200000, message.load().age_us());
  CHECK(message.cache_events(0).prefix_hash() == 18446744073709551615ULL);
}

TEST(Announcement, EachInvalidFieldIsReportedWithItsPath) {
  Findings findings;
  ParseAnnouncement(
      R"({"name":1,"data_centre":"dc","role":"king","url":"u","slots":-1,
          "load":{"running":99999999999}})",
      &findings);
  std::string places;
  for (const auto& finding : findings.items()) places += finding.place + " ";
  for (const char* place : {"body#/name", "body#/service", "body#/role",
                            "body#/slots", "body#/load/running"}) {
    CHECK_TEXT(places.find(place) != std::string::npos, place);
  }
}

TEST(Announcement, TruncatedTextIsReportedWithoutACrash) {
  const std::string valid = kValid;
  for (std::size_t length = 0; length < valid.size(); ++length) {
    Findings findings;
    ParseAnnouncement(valid.substr(0, length), &findings);
    CHECK_FALSE(findings.empty());
  }
}
