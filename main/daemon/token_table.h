// Maps bearer tokens to their owners. Only SHA-256 hashes are stored.
#ifndef MAIN_DAEMON_TOKEN_TABLE_H_
#define MAIN_DAEMON_TOKEN_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cassiausher {

/// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);

/// The token after "Bearer " in an Authorization header; empty if there is
/// none.
std::string_view BearerToken(std::string_view authorization);

struct TokenOwner {
  std::string name;
  std::string role;
};

class TokenTable {
 public:
  void Add(const std::string& sha256, TokenOwner owner);

  /// Compares hashes in constant time: the table is keyed by half of the hash,
  /// and the whole hash is compared without early exit.
  std::optional<TokenOwner> Find(std::string_view token) const;

 private:
  struct Entry {
    std::string sha256;
    TokenOwner owner;
  };
  std::unordered_multimap<std::string, Entry> entries_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_TOKEN_TABLE_H_
