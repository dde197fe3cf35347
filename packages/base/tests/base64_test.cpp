#include <bilberrytrail/base/base64.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("decoding Base64 returns the encoded bytes")
{
  struct Row
  {
    std::string mBytes;
    std::string mText;
  };
  const Row rows[] = {
    { "", "" },
    { "f", "Zg==" },
    { "fo", "Zm8=" },
    { "foo", "Zm9v" },
    { std::string("\x00\xff\x80", 3), "AP+A" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mText);
    CHECK(ToBase64(row.mBytes) == row.mText);
    const auto bytes = FromBase64(row.mText);
    REQUIRE(bytes.has_value());
    CHECK(bytes.value() == row.mBytes);
  }
}

TEST_CASE("decoding a text that is not Base64 fails")
{
  for (const char* text : { "Z", "Zg=", "Z!==", "Zm9vZ" }) {
    CAPTURE(text);
    CHECK_FALSE(FromBase64(text).has_value());
  }
}
