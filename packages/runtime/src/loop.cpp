#include "loop_impl.h"
#include "use_fiber.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <cassert>
#include <map>
#include <vector>

namespace bilberrytrail {

namespace {

constexpr std::size_t kFiberStackBytes = 128 * 1024;

thread_local Loop::Impl* tCurrent = nullptr;
thread_local std::size_t tReadyFibers = 0;

// Round-robin scheduling that counts the ready fibers, so that the loop knows
// when it may block for sockets and timers.
class CountingScheduler final : public boost::fibers::algo::round_robin
{
public:
  void awakened(boost::fibers::context* aFiber) noexcept override
  {
    if (IsCounted(aFiber)) {
      ++tReadyFibers;
    }
    round_robin::awakened(aFiber);
  }

  boost::fibers::context* pick_next() noexcept override
  {
    auto* fiber = round_robin::pick_next();
    if (fiber != nullptr && IsCounted(fiber)) {
      --tReadyFibers;
    }
    return fiber;
  }

private:
  static bool IsCounted(boost::fibers::context* aFiber) noexcept
  {
    return !aFiber->is_context(boost::fibers::type::dispatcher_context);
  }
};

void
UseCountingScheduler()
{
  thread_local bool tInstalled = false;
  if (!tInstalled) {
    boost::fibers::use_scheduling_algorithm<CountingScheduler>();
    tInstalled = true;
  }
}

} // namespace

Loop::Impl::Impl(LoopTime aTime)
  : mTime(aTime)
  , mContext(1)
  , mWork(mContext.get_executor())
{
  if (IsVirtual()) {
    assert(tVirtualNow == nullptr);
    tVirtualNow = &mNow;
  }
}

Loop::Impl::~Impl()
{
  if (IsVirtual()) {
    tVirtualNow = nullptr;
  }
}

Loop::Impl*
Loop::Impl::Current() noexcept
{
  return tCurrent;
}

void
Loop::Impl::Run()
{
  assert(tCurrent == nullptr);
  tCurrent = this;
  UseCountingScheduler();
  while (!mStopping) {
    RunStep();
  }
  EndFibers();
  tCurrent = nullptr;
}

void
Loop::Impl::RunStep()
{
  if (tReadyFibers > 0) {
    boost::this_fiber::yield();
    mContext.poll();
  } else if (mTimers.empty()) {
    mContext.run_one();
  } else if (mContext.poll() == 0) {
    AdvanceTime();
  }
}

void
Loop::Impl::AdvanceTime()
{
  const auto first = mTimers.begin();
  mNow = std::max(mNow, first->first);
  const auto wait = first->second;
  mTimers.erase(first);
  wait->Cancel();
}

void
Loop::Impl::WaitVirtual(Duration aDuration, std::shared_ptr<PendingWait>& aSlot)
{
  if (mStopping) {
    return;
  }
  const auto wait = std::make_shared<FiberWait<>>(*this);
  aSlot = wait;
  const auto end = mNow + aDuration;
  mTimers.emplace(end, wait);
  (void)wait->Await();
  aSlot.reset();
  const auto [first, last] = mTimers.equal_range(end);
  const auto it = std::find_if(
    first, last, [&](const auto& aTimer) { return aTimer.second == wait; });
  if (it != last) {
    mTimers.erase(it);
  }
}

void
Loop::Impl::EndFibers()
{
  while (mFibers > 0) {
    const std::vector<PendingWait*> waits(mWaits.begin(), mWaits.end());
    for (auto* wait : waits) {
      wait->Cancel();
    }
    boost::this_fiber::yield();
  }
}

void
Loop::Impl::Stop()
{
  mStopping = true;
  boost::asio::post(mContext, [] {});
}

void
Loop::Impl::Spawn(std::function<void()> aTask)
{
  boost::asio::post(mContext, [this, task = std::move(aTask)]() mutable {
    StartFiber(std::move(task));
  });
}

void
Loop::Impl::StartFiber(std::function<void()> aTask)
{
  ++mFibers;
  boost::fibers::fiber(boost::fibers::launch::post,
                       std::allocator_arg,
                       boost::fibers::fixedsize_stack(kFiberStackBytes),
                       [this, task = std::move(aTask)] {
                         task();
                         --mFibers;
                       })
    .detach();
}

Loop::Loop(LoopTime aTime)
  : mImpl(std::make_unique<Impl>(aTime))
{
}

Loop::~Loop() = default;

void
Loop::SetMessageMemory(std::shared_ptr<MemoryBudget> aBudget)
{
  mImpl->mMessageMemory = std::move(aBudget);
}

const std::shared_ptr<MemoryBudget>&
Loop::MessageMemory() const noexcept
{
  return mImpl->mMessageMemory;
}

bool
Loop::IsStopping() const noexcept
{
  return mImpl->IsStopping();
}

void
Loop::Run()
{
  mImpl->Run();
}

void
Loop::Stop()
{
  mImpl->Stop();
}

void
Loop::Post(std::function<void()> aTask)
{
  boost::asio::post(mImpl->Context(), std::move(aTask));
}

void
Loop::Spawn(std::function<void()> aTask)
{
  mImpl->Spawn(std::move(aTask));
}

bool
Loop::Sleep(Duration aDuration)
{
  if (mImpl->IsVirtual()) {
    std::shared_ptr<PendingWait> wait;
    mImpl->WaitVirtual(aDuration, wait);
    return !mImpl->IsStopping();
  }
  boost::asio::steady_timer timer(mImpl->Context(), aDuration);
  timer.async_wait(kUseFiber);
  return !mImpl->IsStopping();
}

void
Loop::Yield()
{
  boost::this_fiber::yield();
}

class Event::Impl
{
public:
  explicit Impl(Loop::Impl& aLoop)
    : mLoop(aLoop)
    , mContext(aLoop.Context())
    , mTimer(aLoop.Context())
  {
  }

  void Await(Duration aTimeout)
  {
    if (mLoop.IsVirtual()) {
      mLoop.WaitVirtual(aTimeout, mWait);
      return;
    }
    mTimer.expires_after(aTimeout);
    mTimer.async_wait(kUseFiber);
  }

  void Wake()
  {
    mNotified = true;
    mTimer.cancel();
    if (mWait) {
      mWait->Cancel();
    }
  }

  Loop::Impl& mLoop;
  boost::asio::io_context& mContext;
  boost::asio::steady_timer mTimer;
  // The wait in virtual time.
  std::shared_ptr<PendingWait> mWait;
  bool mNotified = false;
};

Event::Event(Loop& aLoop)
  : mImpl(std::make_shared<Impl>(aLoop.Internals()))
{
}

Event::~Event() = default;

bool
Event::Wait(Duration aTimeout)
{
  if (!mImpl->mNotified) {
    mImpl->Await(aTimeout);
  }
  return std::exchange(mImpl->mNotified, false);
}

void
Event::Notify()
{
  boost::asio::post(mImpl->mContext, [impl = mImpl] { impl->Wake(); });
}

} // namespace bilberrytrail
