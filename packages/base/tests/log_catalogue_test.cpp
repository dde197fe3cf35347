#include <bilberrytrail/base/log_event.h>

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <set>

using namespace bilberrytrail;

TEST_CASE("docs/EVENTS.md matches the event catalogue")
{
  std::ifstream in(BILBERRYTRAIL_SOURCE_DIR "/docs/EVENTS.md");
  const std::string text{ std::istreambuf_iterator<char>(in), {} };
  const bool isEqual = text == RenderEventCatalogue();
  CHECK_MESSAGE(isEqual,
                "docs/EVENTS.md is out of date; regenerate it with: "
                "bilberryctl catalogue events");
}

TEST_CASE("events have distinct numbers and names, a meaning and an action")
{
  std::set<std::uint16_t> numbers;
  std::set<std::string_view> names;
  for (const auto& event : LogEvents()) {
    CAPTURE(event.mName);
    CHECK(numbers.insert(event.mNumber).second);
    CHECK(names.insert(event.mName).second);
    CHECK_FALSE(event.mMeaning.empty());
    CHECK_FALSE(event.mAction.empty());
  }
}
