#include <bilberrytrail/runtime/deflate.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr std::size_t kMaxBytes = 1'000'000;

std::string
Repeat(std::string_view aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aText;
  }
  return text;
}

std::string
Noise(std::size_t aBytes)
{
  std::string text;
  std::uint32_t state = 1;
  for (std::size_t n = 0; n < aBytes; ++n) {
    state = state * 1664525U + 1013904223U;
    text += static_cast<char>(state >> 24U);
  }
  return text;
}

} // namespace

TEST_CASE("compressed bytes are restored")
{
  for (const auto& text : { std::string(),
                            std::string("a"),
                            std::string("\0\xff", 2),
                            Repeat("{\"name\":\"r-1\"},", 300'000),
                            Noise(100'000) }) {
    CAPTURE(text.size());
    const auto compressed = Deflate(text);
    const auto restored = Inflate(compressed, kMaxBytes);
    REQUIRE(restored.has_value());
    CHECK(restored.value() == text);
  }
  CHECK(Deflate(Repeat("{\"name\":\"r-1\"},", 300'000)).size() < 10'000);
}

TEST_CASE("bytes of any number are restored")
{
  for (std::size_t n = 0; n < 2000; ++n) {
    const auto text = Noise(n / 2) + Repeat("ab", n / 2);
    const auto restored = Inflate(Deflate(text), kMaxBytes);
    REQUIRE(restored.has_value());
    CHECK(restored.value() == text);
  }
}

TEST_CASE("bytes that cannot be restored are rejected")
{
  const auto text = Repeat("abc", 10'000);
  const auto compressed = Deflate(text);
  struct Row
  {
    std::string mBytes;
    std::size_t mMaxBytes;
    ErrorCode mCode;
  };
  for (const Row& row :
       { Row{ "", kMaxBytes, ErrorCode::Corrupt },
         Row{ compressed.substr(0, compressed.size() / 2),
              kMaxBytes,
              ErrorCode::Corrupt },
         Row{ compressed.substr(0, compressed.size() - 6),
              kMaxBytes,
              ErrorCode::Corrupt },
         Row{ compressed + "x", kMaxBytes, ErrorCode::Corrupt },
         Row{
           std::string(3, '\0') + Noise(200), kMaxBytes, ErrorCode::Corrupt },
         Row{ compressed, 9'999, ErrorCode::TooLarge },
         Row{ compressed, 100, ErrorCode::TooLarge } }) {
    const auto restored = Inflate(row.mBytes, row.mMaxBytes);
    REQUIRE_FALSE(restored.has_value());
    CHECK(restored.error().mCode == row.mCode);
  }
}
