#pragma once

#include "loop_impl.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/error.hpp>
#include <boost/fiber/context.hpp>

#include <memory>
#include <tuple>
#include <utility>

namespace bilberrytrail {

// Completion token that suspends the calling fiber until the operation ends.
// The initiating function returns a tuple of the error code and the other
// results. Works only on the thread that runs the loop.
struct UseFiber
{};

inline constexpr UseFiber kUseFiber;

// Shared by a suspended fiber and the handler of the operation that it waits
// for. When the loop stops, the handler may outlive the wait.
template<class... Args>
class FiberWait final : public PendingWait
{
public:
  using Results = std::tuple<boost::system::error_code, Args...>;

  explicit FiberWait(Loop::Impl& aLoop)
    : mLoop(aLoop)
    , mFiber(boost::fibers::context::active())
  {
  }

  void Complete(Results aResults)
  {
    if (mDone) {
      return;
    }
    mResults = std::move(aResults);
    mDone = true;
    // An operation that fails at once may complete before the fiber is
    // suspended; scheduled then, it would run twice.
    auto* active = boost::fibers::context::active();
    if (active != mFiber) {
      active->schedule(mFiber);
    }
  }

  void Cancel() override
  {
    Results results{};
    std::get<0>(results) = boost::asio::error::operation_aborted;
    Complete(std::move(results));
  }

  Results Await()
  {
    mLoop.AddWait(*this);
    while (!mDone) {
      mFiber->suspend();
    }
    mLoop.RemoveWait(*this);
    return std::move(mResults);
  }

private:
  Loop::Impl& mLoop;
  boost::fibers::context* mFiber;
  bool mDone = false;
  Results mResults;
};

} // namespace bilberrytrail

template<class... Args>
class boost::asio::async_result<bilberrytrail::UseFiber,
                                void(boost::system::error_code, Args...)>
{
public:
  using Wait = bilberrytrail::FiberWait<Args...>;
  using return_type = typename Wait::Results;

  template<class Initiation, class... InitArgs>
  static return_type initiate(Initiation&& aInitiation,
                              bilberrytrail::UseFiber /*aToken*/,
                              InitArgs&&... aArgs)
  {
    auto& loop = *bilberrytrail::Loop::Impl::Current();
    if (loop.IsStopping()) {
      return_type results{};
      std::get<0>(results) = boost::asio::error::operation_aborted;
      return results;
    }
    auto wait = std::make_shared<Wait>(loop);
    std::forward<Initiation>(aInitiation)(
      [wait](boost::system::error_code aCode, Args... aResults) {
        wait->Complete(typename Wait::Results(aCode, std::move(aResults)...));
      },
      std::forward<InitArgs>(aArgs)...);
    return wait->Await();
  }
};
