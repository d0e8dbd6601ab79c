// Generates the fake endpoint's answers from the prompt alone, so that a
// checker detects a lost, duplicated, mixed or truncated answer without storing
// the prompt.
#ifndef TOOLS_FAKE_ENDPOINT_ANSWER_TEXT_H_
#define TOOLS_FAKE_ENDPOINT_ANSWER_TEXT_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace cassiausher {

/// Lower 32 bits of the XXH3 hash of a prompt, or of the body of a request to a
/// plain service.
std::uint32_t TextHash(std::string_view text);

/// Returns "prompt" of a completion request, or the concatenated message
/// contents of a chat completion request. Empty when the body has neither.
std::string ExtractPrompt(const nlohmann::json& body);

/// Estimates a token as four bytes, rounded up.
std::int64_t EstimateTokens(std::string_view prompt);

/// Returns the length of the answer in tokens, between 0.5 and 1.5 times
/// `typical_tokens`. It depends on the prompt's hash alone, so that all engines
/// of a pool generate the same length. `max_tokens` 0 means no limit.
std::int64_t AnswerLength(std::uint32_t prompt_hash,
                          std::int64_t typical_tokens, std::int64_t max_tokens);

/// Appends token `n` of `total`, counted from 1: "t<hash>-<n> ". The last one
/// ends with '.' instead of the space.
void AppendToken(std::uint32_t prompt_hash, std::int64_t n, std::int64_t total,
                 std::string* text);

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_ANSWER_TEXT_H_
