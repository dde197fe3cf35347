#pragma once

#include <string>
#include <string_view>

namespace bilberrytrail {

// Cuts a stream of events at the ends of events, so that a stream that breaks
// within an event can go on elsewhere behind the last whole one.
//
//   const std::string whole = splitter.Add(bytes);
//   ... the server dies; go on behind splitter.LastId()
class EventSplitter
{
public:
  // Returns the id of the last whole event; empty when it had none.
  [[nodiscard]] const std::string& LastId() const noexcept { return mLastId; }
  // Returns the bytes behind the last whole event.
  [[nodiscard]] const std::string& Rest() const noexcept { return mRest; }

  // Takes in bytes and returns all that belong to whole events by now.
  [[nodiscard]] std::string Add(std::string_view aBytes);
  // Forgets the bytes of an event that was cut.
  void DropRest() noexcept { mRest.clear(); }

private:
  void NoteIds(std::string_view aEvents);

  std::string mRest;
  std::string mLastId;
};

} // namespace bilberrytrail
