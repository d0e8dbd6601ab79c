// Parses a text/event-stream (SSE) answer into numbered chunks of text.
#ifndef MODULES_OPENAI_ENDPOINT_OPENAI_CHUNK_PARSER_H_
#define MODULES_OPENAI_ENDPOINT_OPENAI_CHUNK_PARSER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

/// Parses chat completion chunks if `chat` is true, or else text completion
/// chunks.
class OpenAiChunkParser : public ChunkParser {
 public:
  explicit OpenAiChunkParser(bool chat) : chat_(chat) {}

  bool Feed(std::string_view bytes, std::vector<StreamChunk>* chunks) override;

 private:
  /// Both return false if the stream is malformed.
  bool ParseLine(std::string_view line, std::vector<StreamChunk>* chunks);
  bool DispatchEvent(std::vector<StreamChunk>* chunks);

  bool chat_;
  /// Received bytes of an incomplete line.
  std::string buffer_;
  /// Data of the event being read.
  std::string data_;
  /// Number from the "id" line of the event being read, or 0 if it has none.
  std::uint64_t sequence_ = 0;
  /// Number of the last chunk; the next chunk follows it if the engine sends no
  /// "id" lines.
  std::uint64_t last_sequence_ = 0;
};

}  // namespace cassiausher

#endif  // MODULES_OPENAI_ENDPOINT_OPENAI_CHUNK_PARSER_H_
