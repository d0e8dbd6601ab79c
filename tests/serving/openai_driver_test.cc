// Guards against errors in the translation between callers' requests and engine
// calls, and in parsing streams that are split at any byte.
#include "modules/openai_endpoint/openai_driver.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace cassiausher;  // NOLINT: test file
using nlohmann::json;

namespace {

CallerRequest Parse(const std::string& body, Findings* findings) {
  CallerRequest request;
  request.id = RequestId("r1");
  request.body = body;
  OpenAiDriver().ParseRequest(&request, findings);
  return request;
}

}  // namespace

TEST_GROUP(OpenAiDriver){};

TEST(OpenAiDriver, RouterFieldsReplaceThoseOfTheCaller) {
  Findings findings;
  const CallerRequest request = Parse(
      R"({"model":"m","prompt":"abcde","max_tokens":7,"stream":true,"priority":-5,"temperature":0})",
      &findings);
  CHECK(findings.empty());
  LONGS_EQUAL(2, request.prompt_tokens.value());
  const EndpointCall call = OpenAiDriver().BuildPrefill(
      request, {.pool = "dc/m", .epoch = Epoch(3), .priority = 1},
      "http://127.0.0.1:1");
  const json body = json::parse(call.body);
  LONGS_EQUAL(1, body["max_tokens"].get<int>());
  LONGS_EQUAL(1, body["priority"].get<int>());
  CHECK_FALSE(body["stream"].get<bool>());
  CHECK(body["kv_transfer_params"]["do_remote_decode"].get<bool>());
  LONGS_EQUAL(0, body["temperature"].get<int>());
}

TEST(OpenAiDriver, EveryErrorInABodyIsReported) {
  Findings findings;
  Parse(R"({"model":"m","prompt":3,"max_tokens":0,"stream":"yes"})", &findings);
  LONGS_EQUAL(3, findings.items().size());
}

TEST(OpenAiDriver, ChunksSplitAtAnyByteAreParsed) {
  const std::string stream =
      "id: 1\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n"
      "id: 2\r\ndata: "
      "{\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}"
      "\r\n\r\ndata: [DONE]\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    const auto parser = OpenAiDriver().NewChunkParser(false);
    std::vector<StreamChunk> chunks;
    CHECK(parser->Feed(stream.substr(0, cut), &chunks));
    CHECK(parser->Feed(stream.substr(cut), &chunks));
    LONGS_EQUAL(2, chunks.size());
    STRCMP_EQUAL("b", chunks[1].text.c_str());
    STRCMP_EQUAL("stop", chunks[1].finish_reason.c_str());
  }
}

TEST(OpenAiDriver, MalformedChunksAreRejected) {
  for (const char* bad : {"data: {\n\n", "data: 3\n\n", "id: x\ndata: {}\n\n",
                          "data: {\"choices\":[{\"text\":1}]}\n\n"}) {
    const auto parser = OpenAiDriver().NewChunkParser(false);
    std::vector<StreamChunk> chunks;
    CHECK_FALSE(parser->Feed(bad, &chunks));
  }
}
