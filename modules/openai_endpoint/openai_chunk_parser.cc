#include "modules/openai_endpoint/openai_chunk_parser.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "core/json_reader.h"

namespace cassiausher {
namespace {

using nlohmann::json;

// An event carries one token, so a longer line is malformed.
constexpr std::size_t kMaxLineBytes = 1 << 20;

bool ReadText(const json& choice, bool chat, std::string* text) {
  if (!chat) {
    if (!choice.contains("text") || !choice["text"].is_string()) return false;
    *text = choice["text"].get<std::string>();
    return true;
  }
  if (!choice.contains("delta") || !choice["delta"].is_object()) return false;
  const json& delta = choice["delta"];
  if (delta.contains("content") && delta["content"].is_string()) {
    *text = delta["content"].get<std::string>();
  }
  return true;
}

}  // namespace

bool OpenAiChunkParser::Feed(std::string_view bytes,
                             std::vector<StreamChunk>* chunks) {
  buffer_.append(bytes);
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = buffer_.find('\n', start);
    if (end == std::string::npos) break;
    std::string_view line(buffer_.data() + start, end - start);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (!ParseLine(line, chunks)) return false;
    start = end + 1;
  }
  buffer_.erase(0, start);
  return buffer_.size() <= kMaxLineBytes;
}

bool OpenAiChunkParser::ParseLine(std::string_view line,
                                  std::vector<StreamChunk>* chunks) {
  if (line.empty()) return DispatchEvent(chunks);
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return true;
  const std::string_view field = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (field == "data") {
    data_.append(value);
    return true;
  }
  if (field == "id") {
    const auto parsed =
        std::from_chars(value.data(), value.data() + value.size(), sequence_);
    return parsed.ec == std::errc() && sequence_ > 0;
  }
  return true;
}

bool OpenAiChunkParser::DispatchEvent(std::vector<StreamChunk>* chunks) {
  if (data_.empty()) return true;
  const std::string data = std::move(data_);
  data_.clear();
  if (data == "[DONE]") return true;
  const json document = ParseJson(data);
  if (!document.is_object() || !document.contains("choices") ||
      !document["choices"].is_array()) {
    return false;
  }
  // Some engines send a usage event, whose `choices` is empty.
  if (document["choices"].empty()) return true;
  const json& choice = document["choices"][0];
  StreamChunk chunk;
  chunk.sequence = sequence_ > 0 ? sequence_ : last_sequence_ + 1;
  sequence_ = 0;
  last_sequence_ = chunk.sequence;
  if (!choice.is_object() || !ReadText(choice, chat_, &chunk.text)) {
    return false;
  }
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
    chunk.finish_reason = choice["finish_reason"].get<std::string>();
  }
  chunks->push_back(std::move(chunk));
  return true;
}

}  // namespace cassiausher
