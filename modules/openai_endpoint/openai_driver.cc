#include "modules/openai_endpoint/openai_driver.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "modules/openai_endpoint/openai_chunk_parser.h"

namespace cassiausher {
namespace {

using nlohmann::json;

/// Used to estimate the number of prompt tokens.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMinPrefixBytes = 1024;
constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxTokensLimit = 1 << 20;

// Fields that the router sets in its calls. They are removed from the caller's
// body, since the caller's values would conflict.
constexpr const char* kRouterFields[] = {"max_tokens",
                                         "max_completion_tokens",
                                         "stream",
                                         "stream_options",
                                         "priority",
                                         "kv_transfer_params",
                                         "cassiausher_resume_tokens"};

std::string ConcatenateMessages(const json& messages, Findings* findings) {
  std::string prompt;
  for (std::size_t i = 0; i < messages.size(); ++i) {
    const json& message = messages[i];
    const std::string location = fmt::format("body#/messages/{}", i);
    if (!message.is_object() || !message.contains("role") ||
        !message.contains("content") || !message["content"].is_string()) {
      findings->Add(location, "must have a role and a content string");
      continue;
    }
    prompt += message["content"].get_ref<const std::string&>();
  }
  return prompt;
}

std::string ReadPrompt(const json& document, bool chat, Findings* findings) {
  if (chat) {
    if (!document.contains("messages") || !document["messages"].is_array() ||
        document["messages"].empty()) {
      findings->Add("body#/messages", "must be an array with a message");
      return {};
    }
    return ConcatenateMessages(document["messages"], findings);
  }
  if (!document.contains("prompt") || !document["prompt"].is_string()) {
    findings->Add("body#/prompt", "must be a string");
    return {};
  }
  return document["prompt"].get<std::string>();
}

/// Hashes the prefixes of `prompt` whose lengths are kMinPrefixBytes times a
/// power of two.
std::vector<std::uint64_t> PrefixHashes(const std::string& prompt) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t length = kMinPrefixBytes; length <= prompt.size();
       length *= 2) {
    hashes.push_back(XXH3_64bits(prompt.data(), length));
  }
  return hashes;
}

/// Builds a call with the request's body, to which the priority and `fields`
/// are appended. `fields` are JSON members separated by commas.
EndpointCall BuildCall(const CallerRequest& request, const CallContext& context,
                       const std::string& endpoint_url,
                       const std::string& fields) {
  EndpointCall call;
  call.url = endpoint_url +
             (request.chat ? "/v1/chat/completions" : "/v1/completions");
  call.headers = {{"X-Request-Id", request.id.value()},
                  {"Cassiausher-Pool", context.pool},
                  {"Cassiausher-Epoch", fmt::to_string(context.epoch.value())}};
  if (!request.key.empty()) {
    call.headers.emplace_back("Idempotency-Key", request.key.value());
  }
  // ParseRequest() ensures that the body is an object that contains `model`, so
  // replacing its closing brace by a comma and more members keeps it valid.
  call.body = fmt::format(
      "{},\"priority\":{},{}}}",
      std::string_view(request.body).substr(0, request.body.size() - 1),
      context.priority, fields);
  return call;
}

}  // namespace

void OpenAiDriver::ParseRequest(CallerRequest* request,
                                Findings* findings) const {
  json document = ParseJson(request->body, "body", findings);
  if (document.is_discarded()) return;
  if (!document.is_object()) {
    findings->Add("body#", "must be an object");
    return;
  }
  if (!document.contains("model") || !document["model"].is_string()) {
    findings->Add("body#/model", "must be a string");
    return;
  }
  request->service = ServiceId(document["model"].get<std::string>());
  const std::string prompt = ReadPrompt(document, request->chat, findings);

  std::int64_t max_tokens = kDefaultMaxTokens;
  JsonReader reader(document, "body", "", findings);
  reader.Read("max_tokens", &max_tokens, 1, kMaxTokensLimit);
  reader.Read("max_completion_tokens", &max_tokens, 1, kMaxTokensLimit);
  reader.Read("stream", &request->stream);
  request->max_output_tokens = Tokens(max_tokens);
  request->prompt_tokens = Tokens(static_cast<std::int64_t>(
      (prompt.size() + kBytesPerToken - 1) / kBytesPerToken));
  request->prefix_hashes = PrefixHashes(prompt);

  for (const char* field : kRouterFields) document.erase(field);
  request->body = DumpJson(document);
}

EndpointCall OpenAiDriver::BuildPrefill(const CallerRequest& request,
                                        const CallContext& context,
                                        const std::string& endpoint_url) const {
  return BuildCall(request, context, endpoint_url,
                   "\"max_tokens\":1,\"stream\":false,\"kv_transfer_params\":"
                   "{\"do_remote_decode\":true,\"do_remote_prefill\":false}");
}

bool OpenAiDriver::ParsePrefill(std::string_view body,
                                PrefillResult* result) const {
  const json document = ParseJson(body);
  if (!document.is_object() || !document.contains("kv_transfer_params") ||
      !document["kv_transfer_params"].is_object()) {
    return false;
  }
  result->transfer_parameters = DumpJson(document["kv_transfer_params"]);
  const json::json_pointer cached("/usage/prompt_tokens_details/cached_tokens");
  if (document.contains(cached) && document[cached].is_number_integer()) {
    result->cached_tokens = Tokens(document[cached].get<std::int64_t>());
  }
  return true;
}

EndpointCall OpenAiDriver::BuildDecode(const CallerRequest& request,
                                       const CallContext& context,
                                       const std::string& endpoint_url,
                                       const std::string& transfer_parameters,
                                       const std::string&,
                                       std::uint64_t delivered_chunks) const {
  std::string fields = fmt::format("\"max_tokens\":{},\"stream\":true",
                                   request.max_output_tokens.value());
  if (delivered_chunks > 0) {
    fields +=
        fmt::format(",\"cassiausher_resume_tokens\":{}", delivered_chunks);
  }
  if (!transfer_parameters.empty()) {
    fields += ",\"kv_transfer_params\":" + transfer_parameters;
  }
  return BuildCall(request, context, endpoint_url, fields);
}

EndpointCall OpenAiDriver::BuildResume(const CallerRequest& request,
                                       const CallContext& context,
                                       const std::string& endpoint_url,
                                       std::uint64_t delivered_chunks) const {
  EndpointCall call = BuildCall(request, context, endpoint_url,
                                fmt::format("\"max_tokens\":{},\"stream\":true",
                                            request.max_output_tokens.value()));
  call.headers.emplace_back("Last-Event-ID", fmt::to_string(delivered_chunks));
  return call;
}

std::unique_ptr<ChunkParser> OpenAiDriver::NewChunkParser(bool chat) const {
  return std::make_unique<OpenAiChunkParser>(chat);
}

EndpointCall OpenAiDriver::BuildCancel(const RequestId& request,
                                       const std::string& endpoint_url) const {
  EndpointCall call;
  call.url = endpoint_url + "/cancel";
  call.body = DumpJson(json{{"request_id", request.value()}});
  return call;
}

EndpointCall OpenAiDriver::BuildSessions(
    const std::string& endpoint_url) const {
  EndpointCall call;
  call.method = "GET";
  call.url = endpoint_url + "/sessions";
  return call;
}

bool OpenAiDriver::ParseSessions(std::string_view body,
                                 std::vector<RequestId>* requests) const {
  const json document = ParseJson(body);
  if (!document.is_object() || !document.contains("sessions") ||
      !document["sessions"].is_array()) {
    return false;
  }
  for (const json& session : document["sessions"]) {
    if (!session.is_object() || !session.contains("request_id") ||
        !session["request_id"].is_string()) {
      return false;
    }
    requests->emplace_back(session["request_id"].get<std::string>());
  }
  return true;
}

std::string OpenAiDriver::FormatChunk(const CallerRequest& request,
                                      const StreamChunk& chunk) const {
  const std::string text = DumpJson(json(chunk.text));
  const std::string finish =
      chunk.finish_reason.empty() ? "null" : '"' + chunk.finish_reason + '"';
  const std::string choice =
      request.chat ? fmt::format("\"delta\":{{\"content\":{}}}", text)
                   : fmt::format("\"text\":{}", text);
  return fmt::format(
      "id: {0}\ndata: {{\"id\":\"{1}\",\"object\":\"{2}\",\"model\":\"{3}\","
      "\"choices\":[{{\"index\":0,{4},\"finish_reason\":{5}}}]}}\n\n",
      chunk.sequence, request.id.value(),
      request.chat ? "chat.completion.chunk" : "text_completion",
      request.service.value(), choice, finish);
}

std::string OpenAiDriver::FormatStreamEnd() const { return "data: [DONE]\n\n"; }

std::string OpenAiDriver::FormatAnswer(const CallerRequest& request,
                                       const std::string& text,
                                       const std::string& finish_reason,
                                       std::uint64_t output_tokens) const {
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (request.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const auto prompt_tokens =
      static_cast<std::uint64_t>(request.prompt_tokens.value());
  const json answer = {
      {"id", request.id.value()},
      {"object", request.chat ? "chat.completion" : "text_completion"},
      {"model", request.service.value()},
      {"choices", json::array({choice})},
      {"usage",
       {{"prompt_tokens", prompt_tokens},
        {"completion_tokens", output_tokens},
        {"total_tokens", prompt_tokens + output_tokens}}}};
  return DumpJson(answer);
}

bool OpenAiDriver::ReadAnswer(bool chat, const std::string& answer,
                              StreamChunk* chunk) const {
  const json document = ParseJson(answer);
  const json::json_pointer text(chat ? "/choices/0/message/content"
                                     : "/choices/0/text");
  const json::json_pointer finish("/choices/0/finish_reason");
  if (!document.is_object() || !document.contains(text) ||
      !document.contains(finish)) {
    return false;
  }
  chunk->sequence = 1;
  chunk->text = document[text].get<std::string>();
  chunk->finish_reason = document[finish].get<std::string>();
  return true;
}

}  // namespace cassiausher
