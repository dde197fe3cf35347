#pragma once

#include <string>
#include <string_view>

namespace bilberrytrail {

// Splits a stream of server-sent events at event boundaries, so that a stream
// that breaks within an event can be resumed at another server after the last
// complete one.
//
//   const std::string whole = splitter.Add(bytes);
//   ... the server fails; resume after splitter.LastId()
class EventSplitter
{
public:
  // Returns the id of the last complete event that had one; empty when none
  // had.
  [[nodiscard]] const std::string& LastId() const noexcept { return mLastId; }
  // Returns the bytes after the last complete event.
  [[nodiscard]] const std::string& Rest() const noexcept { return mRest; }

  // Returns whether the rest has a line of an event, so that a stream which
  // ends here has been broken off. Empty lines and comments belong to no event.
  [[nodiscard]] bool IsInsideEvent() const noexcept;

  // Returns whether there was a complete event since the last Resume.
  [[nodiscard]] bool HasEvent() const noexcept { return mHasEvent; }

  // Adds bytes and returns all bytes that now belong to complete events.
  [[nodiscard]] std::string Add(std::string_view aBytes);
  // Discards the bytes of an incomplete event. The bytes added from now on are
  // another server's: their first event must have an id after LastId.
  void Resume() noexcept;
  // Returns whether the first event after Resume had another id, or none. Its
  // bytes are discarded.
  [[nodiscard]] bool IsOutOfOrder() const noexcept { return mIsOutOfOrder; }

private:
  void NoteIds(std::string_view aEvents);
  // Looks for the first event since Resume and checks its order.
  void FindFirst(std::string_view aEvents);

  std::string mRest;
  std::string mLastId;
  bool mHasEvent = false;
  bool mIsOutOfOrder = false;
};

} // namespace bilberrytrail
