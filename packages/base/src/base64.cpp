#include <bilberrytrail/base/base64.h>

#include <openssl/evp.h>

namespace bilberrytrail {

namespace {

// Three bytes become four characters.
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;

} // namespace

std::string
ToBase64(std::string_view aBytes)
{
  const std::size_t groups = (aBytes.size() + kGroupBytes - 1) / kGroupBytes;
  // The encoder writes a terminating zero.
  std::string text(groups * kGroupCharacters + 1, '\0');
  const int n =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

Result<std::string>
FromBase64(std::string_view aText)
{
  if (aText.size() % kGroupCharacters != 0) {
    return Fail(ErrorCode::Corrupt,
                "invalid Base64: length is not a multiple of 4");
  }
  std::string bytes(aText.size() / kGroupCharacters * kGroupBytes, '\0');
  const int n =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (n < 0) {
    return Fail(ErrorCode::Corrupt, "invalid Base64: bad character or padding");
  }
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

} // namespace bilberrytrail
