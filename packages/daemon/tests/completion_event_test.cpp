#include "completion_event.h"
#include "home_message.h"

#include <bilberrytrail/platform/json_fields.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const std::string kTexts[] = { "",
                               " plain",
                               "\"quoted\" \\",
                               "line\nfeed\ttab",
                               "\x01\x1f\x7f",
                               "gr\xc3\xbc\xc3\x9f",
                               "cut \xc3",
                               "\xff\xfe" };

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

TEST_CASE("an event has the bytes that the JSON library gives")
{
  for (const auto& text : kTexts) {
    for (const std::string reason : { "", "stop" }) {
      CAPTURE(text);
      const Json json = {
        { "id", "cmpl-1" },
        { "object", "text_completion" },
        { "model", "gu\"ide" },
        { "choices",
          { { { "index", 0 },
              { "text", text },
              { "finish_reason", reason.empty() ? Json() : Json(reason) } } } }
      };
      CHECK(CompletionEvent("cmpl-1", "gu\"ide").Render(text, reason) ==
            "data: " + Dump(json) + "\n\n");
    }
  }
}

TEST_CASE("a chunk's frame has the bytes that the JSON library gives")
{
  for (const auto& text : kTexts) {
    CAPTURE(text);
    HomeFrame frame;
    frame.mKind = FrameKind::Chunk;
    frame.mAttempt = AttemptId("a\"1");
    frame.mPosition = 17;
    frame.mText = text;
    CHECK(EncodeHomeFrame(frame) == Dump({ { "kind", "chunk" },
                                           { "attempt", "a\"1" },
                                           { "position", 17 },
                                           { "text", text } }));
  }
}
