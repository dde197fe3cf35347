#include <bilberrytrail/entry/event_splitter.h>

#include <bilberrytrail/base/text.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the offset after the last complete event, which ends with an empty
// line, with LF or CRLF line ends.
std::size_t
EndOfEvents(std::string_view aText)
{
  std::size_t end = 0;
  for (const std::string_view mark : { "\n\n", "\r\n\r\n", "\n\r\n" }) {
    const auto at = aText.rfind(mark);
    if (at != std::string_view::npos) {
      end = std::max(end, at + mark.size());
    }
  }
  return end;
}

} // namespace

void
EventSplitter::NoteIds(std::string_view aEvents)
{
  while (!aEvents.empty()) {
    const auto end = aEvents.find('\n');
    const auto line = aEvents.substr(0, end);
    if (line.starts_with(kIdField)) {
      mLastId = Trim(line.substr(kIdField.size()), " \r");
    }
    aEvents.remove_prefix(end == std::string_view::npos ? aEvents.size()
                                                        : end + 1);
  }
}

bool
EventSplitter::IsInsideEvent() const noexcept
{
  std::string_view rest = mRest;
  while (!rest.empty()) {
    const char first = rest.front();
    if (first != '\r' && first != '\n' && first != ':') {
      return true;
    }
    const auto end = rest.find('\n');
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return false;
}

std::string
EventSplitter::Add(std::string_view aBytes)
{
  mRest.append(aBytes);
  const auto end = EndOfEvents(mRest);
  std::string whole = mRest.substr(0, end);
  mRest.erase(0, end);
  NoteIds(whole);
  return whole;
}

} // namespace bilberrytrail
