#pragma once

#include <atomic>
#include <cstdint>

namespace bilberrytrail {

// Bounds the requests that a daemon carries at the same time. Thread-safe.
//
//   const RequestSlots::Slot slot(slots);
//   if (!slot) { ... refuse ... }
class RequestSlots
{
public:
  // Holds one place until its end, when there was one.
  class Slot
  {
  public:
    explicit Slot(RequestSlots& aSlots) noexcept
      : mSlots(aSlots)
      , mIsHeld(aSlots.TryTake())
    {
    }
    ~Slot()
    {
      if (mIsHeld) {
        --mSlots.mTaken;
      }
    }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

    [[nodiscard]] explicit operator bool() const noexcept { return mIsHeld; }

  private:
    RequestSlots& mSlots;
    bool mIsHeld;
  };

  explicit RequestSlots(std::uint64_t aMost) noexcept
    : mMost(aMost)
  {
  }

  [[nodiscard]] std::uint64_t Taken() const noexcept { return mTaken; }

private:
  [[nodiscard]] bool TryTake() noexcept
  {
    if (mTaken.fetch_add(1) < mMost) {
      return true;
    }
    --mTaken;
    return false;
  }

  const std::uint64_t mMost;
  std::atomic<std::uint64_t> mTaken{ 0 };
};

} // namespace bilberrytrail
