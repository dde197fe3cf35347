#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace bilberrytrail::standins {

// Recent events of an engine; readers see each one after a lag, and every
// Nth one is lost.
class EventLog
{
public:
  // Takes the lag, and N for losing every Nth event or 0 for none.
  EventLog(Duration aLag, std::uint64_t aGapEvery);

  // Returns the events behind the sequence number that can be seen by now; a
  // number that is not reached yet counts as 0, as after a restart.
  [[nodiscard]] std::vector<EngineEvent> ReadAfter(std::uint64_t aSequence,
                                                   Instant aNow) const;

  // Numbers an event and adds it.
  void Append(EngineEvent aEvent, Instant aNow);

private:
  struct Entry
  {
    Instant mVisibleAt;
    EngineEvent mEvent;
  };

  Duration mLag;
  std::uint64_t mGapEvery;
  std::uint64_t mLast = 0;
  std::deque<Entry> mEntries;
};

} // namespace bilberrytrail::standins
