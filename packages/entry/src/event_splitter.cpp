#include <bilberrytrail/entry/event_splitter.h>

#include <bilberrytrail/base/text.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace bilberrytrail {

namespace {

constexpr std::string_view kIdField = "id:";
// Longest end of an event.
constexpr std::size_t kEndBytes = 4;

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

// Takes the first line off the text and returns it without its end.
std::string_view
TakeLine(std::string_view& aText)
{
  const auto end = aText.find('\n');
  const auto line = aText.substr(0, end);
  aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

std::string_view
IdIn(std::string_view aLine)
{
  return Trim(aLine.substr(kIdField.size()), " ");
}

// Returns the id of the first event, empty if it has none; nothing if there is
// no event but only comments.
std::optional<std::string_view>
FirstId(std::string_view aEvents)
{
  bool isInEvent = false;
  while (!aEvents.empty()) {
    const auto line = TakeLine(aEvents);
    if (line.starts_with(kIdField)) {
      return IdIn(line);
    }
    if (line.empty() && isInEvent) {
      return std::string_view();
    }
    isInEvent = isInEvent || !(line.empty() || line.starts_with(':'));
  }
  return std::nullopt;
}

std::optional<std::uint64_t>
ToNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number);
  return read.ec == std::errc() && read.ptr == end ? std::optional(number)
                                                   : std::nullopt;
}

// Ids that are no numbers have no order.
bool
IsAfter(std::string_view aId, std::string_view aLastId)
{
  const auto id = ToNumber(aId);
  const auto last = ToNumber(aLastId);
  return id && last ? *id > *last : !aId.empty() && aId != aLastId;
}

} // namespace

void
EventSplitter::Resume() noexcept
{
  mRest.clear();
  mHasEvent = false;
  mIsOutOfOrder = false;
}

void
EventSplitter::FindFirst(std::string_view aEvents)
{
  if (mHasEvent) {
    return;
  }
  if (const auto id = FirstId(aEvents)) {
    mHasEvent = true;
    mIsOutOfOrder = !mLastId.empty() && !IsAfter(*id, mLastId);
  }
}

void
EventSplitter::NoteIds(std::string_view aEvents)
{
  while (!aEvents.empty()) {
    const auto line = TakeLine(aEvents);
    if (line.starts_with(kIdField)) {
      mLastId = IdIn(line);
    }
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
  // An event ends in the new bytes, or begins to end shortly before them.
  const auto from = mRest.size() - std::min(mRest.size(), kEndBytes - 1);
  mRest.append(aBytes);
  const auto size = EndOfEvents(std::string_view(mRest).substr(from));
  const auto end = size == 0 ? 0 : from + size;
  std::string whole = mRest.substr(0, end);
  mRest.erase(0, end);
  FindFirst(whole);
  if (mIsOutOfOrder) {
    return {};
  }
  NoteIds(whole);
  return whole;
}

} // namespace bilberrytrail
