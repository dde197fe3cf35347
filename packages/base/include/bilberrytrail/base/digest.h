#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Returns the SHA-256 of the text as 64 hexadecimal digits.
[[nodiscard]] std::string
Sha256Hex(std::string_view aText);

// Returns HMAC-SHA-256 of the text under the key as 64 hexadecimal digits.
[[nodiscard]] std::string
HmacSha256Hex(std::string_view aKey, std::string_view aText);

// Returns the first 64 bits of HMAC-SHA-256, for identifiers that a client
// account must not be able to guess or collide with.
[[nodiscard]] std::uint64_t
KeyedHash64(std::string_view aKey, std::string_view aText);

// Compares two texts in time that depends on their lengths only.
[[nodiscard]] bool
ConstantTimeEqual(std::string_view aLeft, std::string_view aRight) noexcept;

// Returns a 64-bit hash (FNV-1a with a final mix) that is equal on every
// machine. Not for secrets.
[[nodiscard]] constexpr std::uint64_t
StableHash64(std::string_view aText) noexcept
{
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : aText) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

// Returns a random identifier of 32 hexadecimal digits from the operating
// system's generator.
[[nodiscard]] std::string
RandomToken();

} // namespace bilberrytrail
