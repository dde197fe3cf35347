#pragma once

#include <bilberrytrail/runtime/loop.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <unordered_set>

namespace bilberrytrail {

// A wait of a fiber that ends early when its loop stops.
class PendingWait
{
public:
  virtual ~PendingWait() = default;

  virtual void Cancel() = 0;
};

class Loop::Impl
{
public:
  Impl();

  // Returns the loop that runs on the calling thread, or null.
  [[nodiscard]] static Impl* Current() noexcept;

  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }
  [[nodiscard]] bool IsStopping() const noexcept { return mStopping; }

  void Run();
  void Stop();
  void Spawn(std::function<void()> aTask);
  void AddWait(PendingWait& aWait) { mWaits.insert(&aWait); }
  void RemoveWait(PendingWait& aWait) { mWaits.erase(&aWait); }

private:
  void StartFiber(std::function<void()> aTask);
  void EndFibers();

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::atomic<bool> mStopping = false;
  std::unordered_set<PendingWait*> mWaits;
  std::size_t mFibers = 0;
};

} // namespace bilberrytrail
