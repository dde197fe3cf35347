#pragma once

#include <bilberrytrail/backend/engine.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace bilberrytrail::standins {

// Admission of attempts to the slots of a batch: by priority, and within one
// priority in order of arrival.
class SlotQueue
{
public:
  using Ticket = std::uint64_t;

  explicit SlotQueue(std::uint32_t aSlots)
    : mSlots(aSlots)
  {
  }

  [[nodiscard]] std::uint32_t Running() const noexcept { return mRunning; }
  [[nodiscard]] std::size_t Waiting() const noexcept;

  // Adds an attempt to the queue.
  [[nodiscard]] Ticket Enqueue(EnginePriority aPriority);
  // Takes an attempt out of the queue; false when it is not waiting.
  bool Abandon(Ticket aTicket);
  // Gives a free slot to the next attempt, when there are both.
  [[nodiscard]] std::optional<Ticket> Admit();
  // Frees one slot.
  void Release() { --mRunning; }

private:
  std::uint32_t mSlots;
  std::uint32_t mRunning = 0;
  Ticket mNext = 1;
  std::array<std::deque<Ticket>, EnumCount<EnginePriority>()> mWaiting;
};

} // namespace bilberrytrail::standins
