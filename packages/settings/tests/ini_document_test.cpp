#include <bilberrytrail/settings/ini_document.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("entries carry section, key, value and line")
{
  const auto entries = ParseIni("\xEF\xBB\xBF; comment\n"
                                "top = 1\r\n"
                                "\n"
                                "[one]\n"
                                "  a=b ; not a comment\n"
                                "# comment\n"
                                "b = x = y: [z]\n"
                                "[two]\n"
                                "a =",
                                "x.ini");
  REQUIRE(entries.has_value());
  struct Row
  {
    const char* mSection;
    const char* mKey;
    const char* mValue;
    int mLine;
  };
  const Row rows[] = { { "", "top", "1", 2 },
                       { "one", "a", "b ; not a comment", 5 },
                       { "one", "b", "x = y: [z]", 7 },
                       { "two", "a", "", 9 } };
  REQUIRE(entries.value().size() == std::size(rows));
  for (std::size_t n = 0; n < std::size(rows); ++n) {
    CAPTURE(n);
    const auto& entry = entries.value()[n];
    CHECK(entry.mSection == rows[n].mSection);
    CHECK(entry.mKey == rows[n].mKey);
    CHECK(entry.mValue == rows[n].mValue);
    CHECK(entry.mLine == rows[n].mLine);
  }
}

TEST_CASE("a malformed line is refused with its line number")
{
  const std::string longName(50, 'k');
  struct Row
  {
    std::string mText;
    std::string mMessage;
  };
  const Row rows[] = {
    { "a = 1\nword\n",
      "x.ini:2: expected [section], key = value or a comment" },
    { "a: 1\n", "x.ini:1: expected [section], key = value or a comment" },
    { "[open\n", "x.ini:1: expected [section] and nothing after it" },
    { "[a] b = 1\n", "x.ini:1: expected [section] and nothing after it" },
    { "[a]]\n", "x.ini:1: expected [section] and nothing after it" },
    { "[ a]\n", "x.ini:1: expected a section name without spaces around it" },
    { "[]\n", "x.ini:1: expected a section name without spaces around it" },
    { "\n\n = 1\n", "x.ini:3: expected a key before '='" },
    { longName + " = 1", "x.ini:1: expected a key of at most 49 bytes" },
    { "[" + longName + "]",
      "x.ini:1: expected a section name of at most 49 bytes" },
    { std::string("a = 1\nb = \0", 11),
      "x.ini:2: expected no control characters" },
    { "a = \x1b[0m", "x.ini:1: expected no control characters" },
    { "a = " + std::string(4093, 'v') + "\n",
      "x.ini:1: expected a line of at most 4096 bytes" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mText);
    const auto entries = ParseIni(row.mText, "x.ini");
    REQUIRE_FALSE(entries.has_value());
    CHECK(entries.error().mCode == ErrorCode::InvalidInput);
    CHECK(entries.error().mMessage == row.mMessage);
  }
}

TEST_CASE("the longest permitted line and names are not truncated")
{
  const std::string key(49, 'k');
  const std::string value(4096 - 50, 'v');
  const auto entries = ParseIni("[" + key + "]\n" + key + "=" + value, "x");
  REQUIRE(entries.has_value());
  REQUIRE(entries.value().size() == 1);
  CHECK(entries.value()[0].mSection == key);
  CHECK(entries.value()[0].mKey == key);
  CHECK(entries.value()[0].mValue == value);
}

TEST_CASE("an empty text has no entries")
{
  CHECK(ParseIni("", "x").value().empty());
  CHECK(ParseIni("\n \n;only\n", "x").value().empty());
}
