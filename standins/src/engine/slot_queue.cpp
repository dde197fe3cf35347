#include "engine/slot_queue.h"

#include <algorithm>

namespace bilberrytrail::standins {

std::size_t
SlotQueue::Waiting() const noexcept
{
  std::size_t n = 0;
  for (const auto& lane : mWaiting) {
    n += lane.size();
  }
  return n;
}

SlotQueue::Ticket
SlotQueue::Enqueue(EnginePriority aPriority)
{
  const auto ticket = mNext++;
  mWaiting[static_cast<std::size_t>(aPriority)].push_back(ticket);
  return ticket;
}

bool
SlotQueue::Abandon(Ticket aTicket)
{
  for (auto& lane : mWaiting) {
    const auto it = std::find(lane.begin(), lane.end(), aTicket);
    if (it != lane.end()) {
      lane.erase(it);
      return true;
    }
  }
  return false;
}

std::optional<SlotQueue::Ticket>
SlotQueue::Admit()
{
  if (mRunning >= mSlots) {
    return std::nullopt;
  }
  for (auto& lane : mWaiting) {
    if (!lane.empty()) {
      const auto ticket = lane.front();
      lane.pop_front();
      ++mRunning;
      return ticket;
    }
  }
  return std::nullopt;
}

} // namespace bilberrytrail::standins
