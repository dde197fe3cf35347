#include <bilberrytrail/base/json_bounds.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace bilberrytrail;

namespace {

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string text;
  text.reserve(aText.size() * aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    text += aText;
  }
  return text;
}

} // namespace

// Guards against texts whose values take many times their size, or whose
// nesting overflows the stack of a fiber.
TEST_CASE("the number of values and the nesting of a JSON text are bounded")
{
  struct Row
  {
    const char* mName;
    std::string mText;
    bool mFits;
  };
  const std::vector<Row> rows{
    { "empty", "", true },
    { "an object", R"({"a":[1,2,{"b":null}]})", true },
    { "most values", "[" + Repeat("0,", kMaxJsonValues - 2) + "0]", true },
    { "too many values", "[" + Repeat("0,", kMaxJsonValues) + "0]", false },
    { "too many arrays", "[" + Repeat("[],", kMaxJsonValues) + "0]", false },
    { "deepest", Repeat("[", kMaxJsonDepth) + Repeat("]", 64), true },
    { "too deep", Repeat("[", kMaxJsonDepth + 1), false },
    { "too deep, objects", Repeat(R"({"a":)", kMaxJsonDepth + 1), false },
    { "brackets in a string", "\"" + Repeat("[", 1000) + "\"", true },
    { "commas in a string", "\"" + Repeat(",", 300'000) + "\"", true },
    { "an escaped quote", R"("\")" + Repeat("[", 1000) + "\"", true },
    { "a string without end", "\"" + Repeat("[", 1000) + "\\", true },
    { "closed too often", "]]]]", true },
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    CHECK(FitsJsonBounds(row.mText) == row.mFits);
  }
}
