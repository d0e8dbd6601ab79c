#include "tools/fake_endpoint/answer_text.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace cassiausher {

std::uint32_t TextHash(std::string_view text) {
  return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
}

std::string ExtractPrompt(const nlohmann::json& body) {
  if (!body.is_object()) return {};
  const auto prompt = body.find("prompt");
  if (prompt != body.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) return {};
  std::string text;
  for (const nlohmann::json& message : *messages) {
    if (!message.is_object()) continue;
    const auto content = message.find("content");
    if (content == message.end() || !content->is_string()) continue;
    text += content->get_ref<const std::string&>();
  }
  return text;
}

std::int64_t EstimateTokens(std::string_view prompt) {
  return static_cast<std::int64_t>((prompt.size() + 3) / 4);
}

std::int64_t AnswerLength(std::uint32_t prompt_hash,
                          std::int64_t typical_tokens,
                          std::int64_t max_tokens) {
  constexpr std::int64_t kFactorScale = 1000;
  // Length factor in thousandths, from 500 to 1,499.
  const std::int64_t factor = kFactorScale / 2 + prompt_hash % kFactorScale;
  const std::int64_t length =
      std::max<std::int64_t>(1, typical_tokens * factor / kFactorScale);
  return max_tokens > 0 ? std::min(length, max_tokens) : length;
}

void AppendToken(std::uint32_t prompt_hash, std::int64_t n, std::int64_t total,
                 std::string* text) {
  fmt::format_to(std::back_inserter(*text), "t{:08x}-{}{}", prompt_hash, n,
                 n == total ? '.' : ' ');
}

}  // namespace cassiausher
