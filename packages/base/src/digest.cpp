#include <bilberrytrail/base/digest.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <span>

namespace bilberrytrail {

namespace {

constexpr std::size_t kDigestBytes = 32;
constexpr std::size_t kTokenBytes = 16;
using Digest = std::array<unsigned char, kDigestBytes>;

std::string
ToHex(std::span<const unsigned char> aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

Digest
Hmac(std::string_view aKey, std::string_view aText)
{
  Digest digest{};
  unsigned int n = 0;
  const auto* data = reinterpret_cast<const unsigned char*>(aText.data());
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       data,
       aText.size(),
       digest.data(),
       &n);
  return digest;
}

} // namespace

std::string
Sha256Hex(std::string_view aText)
{
  Digest digest{};
  unsigned int n = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &n, EVP_sha256(), nullptr);
  return ToHex(digest);
}

std::string
HmacSha256Hex(std::string_view aKey, std::string_view aText)
{
  return ToHex(Hmac(aKey, aText));
}

std::uint64_t
KeyedHash64(std::string_view aKey, std::string_view aText)
{
  const Digest digest = Hmac(aKey, aText);
  std::uint64_t hash = 0;
  for (std::size_t n = 0; n < sizeof(hash); ++n) {
    hash = (hash << 8U) | digest[n];
  }
  return hash;
}

bool
ConstantTimeEqual(std::string_view aLeft, std::string_view aRight) noexcept
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
RandomToken()
{
  std::array<unsigned char, kTokenBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    std::abort();
  }
  return ToHex(bytes);
}

} // namespace bilberrytrail
