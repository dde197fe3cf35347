#pragma once

#include "peer_channel.h"

#include <bilberrytrail/runtime/loop.h>

#include <functional>
#include <list>

namespace bilberrytrail {

// Runs whose backend server may stay silent for long: when nobody wants the
// answer any more, the run is told so. Used on one thread only.
class RunWatch
{
  struct Entry
  {
    FrameSink& mSink;
    std::function<void()> mOnClosed;
    bool mIsTold = false;
  };

public:
  // Watches one run as long as it lives.
  class Guard
  {
  public:
    // aOnClosed is called once, on a fiber of its own, after the sink closed.
    Guard(RunWatch& aWatch, FrameSink& aSink, std::function<void()> aOnClosed)
      : mWatch(aWatch)
      , mEntry(aWatch.mRuns.insert(aWatch.mRuns.end(),
                                   Entry{ aSink, std::move(aOnClosed) }))
    {
    }
    ~Guard() { mWatch.mRuns.erase(mEntry); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

  private:
    RunWatch& mWatch;
    std::list<Entry>::iterator mEntry;
  };

  // Tells the runs whose sinks have closed; to be called several times a
  // second.
  void Tick(Loop& aLoop)
  {
    for (auto& it : mRuns) {
      if (!it.mIsTold && !it.mSink.IsOpen()) {
        it.mIsTold = true;
        aLoop.Spawn(it.mOnClosed);
      }
    }
  }

private:
  std::list<Entry> mRuns;
};

} // namespace bilberrytrail
