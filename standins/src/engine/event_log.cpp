#include "engine/event_log.h"

#include <utility>

namespace bilberrytrail::standins {

namespace {

constexpr std::size_t kKeptEvents = 4096;

} // namespace

EventLog::EventLog(Duration aLag, std::uint64_t aGapEvery)
  : mLag(aLag)
  , mGapEvery(aGapEvery)
{
}

std::vector<EngineEvent>
EventLog::ReadAfter(std::uint64_t aSequence, Instant aNow) const
{
  std::vector<EngineEvent> events;
  const auto after = aSequence > mLast ? 0 : aSequence;
  for (auto it = mEntries.rbegin(); it != mEntries.rend(); ++it) {
    if (it->mEvent.mSequence <= after) {
      break;
    }
    if (it->mVisibleAt <= aNow) {
      events.insert(events.begin(), it->mEvent);
    }
  }
  return events;
}

void
EventLog::Append(EngineEvent aEvent, Instant aNow)
{
  aEvent.mSequence = ++mLast;
  if (mGapEvery > 0 && mLast % mGapEvery == 0) {
    return;
  }
  mEntries.push_back(Entry{ aNow + mLag, std::move(aEvent) });
  if (mEntries.size() > kKeptEvents) {
    mEntries.pop_front();
  }
}

} // namespace bilberrytrail::standins
