#include "main/daemon/token_table.h"

#include <glib.h>

#include <memory>
#include <utility>

namespace cassiausher {
namespace {

constexpr std::size_t kKeyHexDigits = 32;
constexpr std::string_view kScheme = "Bearer ";

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  const std::unique_ptr<char, decltype(&g_free)> hex(
      g_compute_checksum_for_data(G_CHECKSUM_SHA256,
                                  reinterpret_cast<const guchar*>(text.data()),
                                  text.size()),
      &g_free);
  return hex.get();
}

std::string_view BearerToken(std::string_view authorization) {
  if (!authorization.starts_with(kScheme)) return {};
  return authorization.substr(kScheme.size());
}

void TokenTable::Add(const std::string& sha256, TokenOwner owner) {
  if (sha256.empty()) return;
  entries_.emplace(sha256.substr(0, kKeyHexDigits),
                   Entry{sha256, std::move(owner)});
}

std::optional<TokenOwner> TokenTable::Find(std::string_view token) const {
  if (token.empty()) return std::nullopt;
  const std::string hash = Sha256Hex(token);
  const auto [begin, end] = entries_.equal_range(hash.substr(0, kKeyHexDigits));
  for (auto it = begin; it != end; ++it) {
    if (EqualInConstantTime(it->second.sha256, hash)) return it->second.owner;
  }
  return std::nullopt;
}

}  // namespace cassiausher
