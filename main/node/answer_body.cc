#include "main/node/answer_body.h"

#include <utility>

namespace cassiausher {
namespace {

// A piece grows by reallocation up to about this size.
constexpr std::size_t kPieceBytes = 64 << 10;

}  // namespace

void AnswerBody::Append(std::string_view bytes) {
  const bool fits =
      !pieces_.empty() && pieces_.back().size() + bytes.size() <= kPieceBytes;
  if (!fits) pieces_.emplace_back();
  pieces_.back().append(bytes);
  size_ += static_cast<std::int64_t>(bytes.size());
}

void AnswerBody::Clear() {
  pieces_.clear();
  size_ = 0;
}

std::string AnswerBody::Text() const {
  std::string text;
  for (const std::string& piece : pieces_) text += piece;
  return text;
}

std::vector<std::string> AnswerBody::TakePieces() {
  size_ = 0;
  return std::exchange(pieces_, {});
}

}  // namespace cassiausher
