// Body of an answer that is held until it is complete.
#ifndef MAIN_NODE_ANSWER_BODY_H_
#define MAIN_NODE_ANSWER_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassiausher {

/// Kept in pieces, so that a large body is neither copied when it grows nor
/// when it is handed to the HTTP server.
class AnswerBody {
 public:
  void Append(std::string_view bytes);
  void Clear();
  std::int64_t size() const { return size_; }
  std::string Text() const;
  /// Leaves the body empty.
  std::vector<std::string> TakePieces();

 private:
  std::vector<std::string> pieces_;
  std::int64_t size_ = 0;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_ANSWER_BODY_H_
