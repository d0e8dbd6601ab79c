#include "servers/accounts/account_directory.h"

#include <utility>

#include "core/hash.h"

namespace cassiausher {
namespace {

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

}  // namespace

AccountDirectory::AccountDirectory(std::vector<ClientAccount> accounts,
                                   std::uint64_t seed)
    : accounts_(std::move(accounts)), seed_(seed) {
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    const std::vector<std::string>& keys = accounts_[i].keys;
    for (std::size_t k = 0; k < keys.size(); ++k) {
      by_hash_.emplace(HashText(keys[k], seed_), KeyPosition{i, k});
    }
  }
}

const ClientAccount* AccountDirectory::Find(std::string_view key) const {
  const auto [first, last] = by_hash_.equal_range(HashText(key, seed_));
  for (auto it = first; it != last; ++it) {
    const ClientAccount& account = accounts_[it->second.account];
    if (EqualInConstantTime(account.keys[it->second.key], key)) return &account;
  }
  return nullptr;
}

}  // namespace cassiausher
