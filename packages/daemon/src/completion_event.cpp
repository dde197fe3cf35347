#include "completion_event.h"

#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Returns whether a JSON string holds the character as it is.
bool
IsPlain(char aCharacter)
{
  constexpr char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7f;
  return aCharacter >= kFirstPrintable && aCharacter < kDelete &&
         aCharacter != '"' && aCharacter != '\\';
}

} // namespace

std::string
QuoteJson(std::string_view aText)
{
  if (std::all_of(aText.begin(), aText.end(), IsPlain)) {
    std::string quoted;
    quoted.reserve(aText.size() + 2);
    return quoted.append("\"").append(aText).append("\"");
  }
  return Json(aText).dump(-1, ' ', false, Json::error_handler_t::replace);
}

CompletionEvent::CompletionEvent(std::string_view aId, std::string_view aModel)
  : mTail("}],\"id\":" + QuoteJson(aId) + ",\"model\":" + QuoteJson(aModel) +
          ",\"object\":\"text_completion\"}\n\n")
{
}

std::string
CompletionEvent::Render(std::string_view aText,
                        std::string_view aFinishReason) const
{
  std::string event = "data: {\"choices\":[{\"finish_reason\":";
  event += aFinishReason.empty() ? "null" : QuoteJson(aFinishReason);
  event += ",\"index\":0,\"text\":";
  event += QuoteJson(aText);
  event += mTail;
  return event;
}

} // namespace bilberrytrail
