#pragma once

#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/memory_budget.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <unordered_set>

namespace bilberrytrail {

// A suspended wait of a fiber, cancelled when its loop stops.
class PendingWait
{
public:
  virtual ~PendingWait() = default;

  virtual void Cancel() = 0;
};

class Loop::Impl
{
public:
  explicit Impl(LoopTime aTime);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // Returns the loop that runs on the calling thread, or null.
  [[nodiscard]] static Impl* Current() noexcept;

  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }
  [[nodiscard]] bool IsStopping() const noexcept { return mStopping; }
  [[nodiscard]] bool IsVirtual() const noexcept
  {
    return mTime == LoopTime::Virtual;
  }

  std::shared_ptr<MemoryBudget> mMessageMemory =
    std::make_shared<MemoryBudget>(kDefaultMessageBytes);

  void Run();
  void Stop();
  void Spawn(std::function<void()> aTask);
  void AddWait(PendingWait& aWait) { mWaits.insert(&aWait); }
  void RemoveWait(PendingWait& aWait) { mWaits.erase(&aWait); }
  // Suspends the calling fiber for a duration of virtual time. Meanwhile aSlot
  // holds the wait, and cancelling it ends the wait early.
  void WaitVirtual(Duration aDuration, std::shared_ptr<PendingWait>& aSlot);

private:
  static constexpr std::size_t kDefaultMessageBytes = 24 * 1024 * 1024;
  // Later than zero, because some code uses a zero Instant for "never".
  static constexpr Duration kVirtualStartTime = std::chrono::hours(1);

  void RunStep();
  void AdvanceTime();
  void StartFiber(std::function<void()> aTask);
  void EndFibers();

  LoopTime mTime;
  // The virtual time, and the pending waits by the time at which they end.
  Instant mNow{ kVirtualStartTime };
  std::multimap<Instant, std::shared_ptr<PendingWait>> mTimers;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::atomic<bool> mStopping = false;
  std::unordered_set<PendingWait*> mWaits;
  std::size_t mFibers = 0;
};

} // namespace bilberrytrail
