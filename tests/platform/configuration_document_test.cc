// Guards against a configuration document that is applied in part: it is either
// decoded completely or rejected with the location of each error.
#include "platform/configuration_document.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace cassiausher {
namespace {

constexpr const char* kDocument =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",
    "path-prefix":"/x/","kind":"stream","timeout-ms":14000,
    "target-latency-ms":900,"priority":1,"traffic-split":[{"service":"s",
    "weight":90},{"service":"p","weight":10}],"attempts":2,
    "session-affinity":true,"resumable":true,"gap-target-ms":300}],
    "services":[{"name":"s","health-path":"/health","max-conns":290,
    "engine":{"slots":48,"kv-capacity":107196,"stride":72,"kv-hold-s":0.5}},
    {"name":"p","max-conns":96}],"limits":{"max-header-bytes":100,
    "idle-timeout-ms":15000},"field-of-tomorrow":1})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_GROUP(ConfigurationDocument) {
  ConfigurationDocumentCodec codec;
  Findings findings;
};

TEST(ConfigurationDocument, ValidDocumentIsDecodedCompletely) {
  const auto configuration = codec.Decode(kDocument, &findings);
  CHECK_TRUE(configuration.has_value());
  LONGS_EQUAL(7, configuration->version.value());
  const Route& route = configuration->routes.at(0);
  CHECK_TRUE(route.kind == RouteKind::kStream);
  CHECK_TRUE(route.resumable);
  LONGS_EQUAL(2, route.attempts);
  CHECK_TRUE(route.timeout == Seconds(14));
  CHECK_TRUE(route.gap_target == Milliseconds(300));
  LONGS_EQUAL(2, route.targets.size());
  const ServiceSpec& service = configuration->services.at(ServiceId("s"));
  LONGS_EQUAL(48, service.engine->slots);
  LONGS_EQUAL(72, service.engine->tokens_per_event);
  CHECK_TRUE(service.engine->handle_lifetime == Milliseconds(500));
  CHECK_FALSE(configuration->services.at(ServiceId("p")).engine.has_value());
  LONGS_EQUAL(100, configuration->limits.max_header_bytes);
  CHECK_TRUE(Validate(*configuration).empty());
}

TEST(ConfigurationDocument, EveryTruncationIsRejected) {
  const std::string whole = kDocument;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    Findings found;
    CHECK_FALSE(codec.Decode(whole.substr(0, size), &found).has_value());
    CHECK_FALSE(found.empty());
  }
}

TEST(ConfigurationDocument, FieldOfWrongTypeIsReportedWithItsLocation) {
  const std::string text =
      Replaced(kDocument, "\"timeout-ms\":14000", "\"timeout-ms\":\"14\"");
  CHECK_FALSE(codec.Decode(text, &findings).has_value());
  STRCMP_EQUAL("/routes/0/timeout-ms", findings.items().front().place.c_str());
  for (const char* non_object : {"7", "[]", "null", "\"x\""}) {
    Findings found;
    CHECK_FALSE(codec.Decode(non_object, &found).has_value());
  }
}

TEST(ConfigurationDocument, UnknownRouteKindIsRejected) {
  const std::string text =
      Replaced(kDocument, "\"kind\":\"stream\"", "\"kind\":\"maybe\"");
  CHECK_FALSE(codec.Decode(text, &findings).has_value());
}

TEST(ConfigurationDocument, UnservableConfigurationFailsValidation) {
  for (const auto& [from, to] :
       {std::pair{"\"weight\":90},{\"service\":\"p\",\"weight\":10",
                  "\"weight\":0},{\"service\":\"p\",\"weight\":0"},
        std::pair{"\"timeout-ms\":14000", "\"timeout-ms\":0"},
        std::pair{"\"service\":\"p\",\"weight\":10",
                  "\"service\":\"q\",\"weight\":10"}}) {
    const auto configuration =
        codec.Decode(Replaced(kDocument, from, to), &findings);
    CHECK_TRUE(configuration.has_value());
    CHECK_FALSE(Validate(*configuration).empty());
  }
}

}  // namespace cassiausher
