// Finds the client account that a key belongs to.
#ifndef SERVERS_ACCOUNTS_ACCOUNT_DIRECTORY_H_
#define SERVERS_ACCOUNTS_ACCOUNT_DIRECTORY_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "servers/accounts/client_account.h"

namespace cassiausher {

/// Immutable. The time of a lookup tells nothing of how much of a key is right:
/// keys are found by a seeded hash, then compared in constant time.
class AccountDirectory {
 public:
  AccountDirectory() = default;
  /// `seed` is random, so that nobody outside can choose keys of equal hashes.
  AccountDirectory(std::vector<ClientAccount> accounts, std::uint64_t seed);

  /// Returns null if no account has the key. The result lives as long as the
  /// directory.
  const ClientAccount* Find(std::string_view key) const;
  const std::vector<ClientAccount>& accounts() const { return accounts_; }

 private:
  struct KeyPosition {
    std::size_t account = 0;
    std::size_t key = 0;
  };

  std::vector<ClientAccount> accounts_;
  std::uint64_t seed_ = 0;
  std::unordered_multimap<std::uint64_t, KeyPosition> by_hash_;
};

}  // namespace cassiausher

#endif  // SERVERS_ACCOUNTS_ACCOUNT_DIRECTORY_H_
