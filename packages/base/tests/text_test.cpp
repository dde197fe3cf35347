#include <bilberrytrail/base/text.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("Trim removes blanks at both ends and keeps those within")
{
  struct Row
  {
    std::string_view mText;
    std::string_view mBlanks;
    std::string_view mTrimmed;
  };
  for (const Row& row : { Row{ "", " ", "" },
                          Row{ "  ", " ", "" },
                          Row{ " a b ", " ", "a b" },
                          Row{ "\ta\r", " \t\r", "a" },
                          Row{ "\ta ", " ", "\ta" } }) {
    CAPTURE(row.mText);
    CHECK(Trim(row.mText, row.mBlanks) == row.mTrimmed);
  }
}
