#pragma once

#include <string>
#include <string_view>

namespace bilberrytrail {

// Renders the events of one streamed answer. All that they share is rendered
// once; the bytes are those of a JSON library with sorted fields.
class CompletionEvent
{
public:
  CompletionEvent(std::string_view aId, std::string_view aModel);

  // Returns one event; the reason is empty before the end.
  [[nodiscard]] std::string Render(std::string_view aText,
                                   std::string_view aFinishReason) const;

private:
  std::string mTail;
};

// Returns the text as a JSON string. Bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string
QuoteJson(std::string_view aText);

} // namespace bilberrytrail
