#pragma once

#include <bilberrytrail/base/time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

namespace bilberrytrail::standins {

// Counts the bytes that cross a link and limits nothing: most bytes within any
// window of the given length.
class LinkMeter
{
public:
  explicit LinkMeter(Duration aWindow)
    : mWindow(aWindow)
  {
  }

  [[nodiscard]] std::uint64_t PeakBytes() const noexcept { return mPeak; }

  void Add(Instant aNow, std::uint64_t aBytes)
  {
    while (!mMoves.empty() && mMoves.front().first <= aNow - mWindow) {
      mBytes -= mMoves.front().second;
      mMoves.pop_front();
    }
    mMoves.emplace_back(aNow, aBytes);
    mBytes += aBytes;
    mPeak = std::max(mPeak, mBytes);
  }

private:
  Duration mWindow;
  std::deque<std::pair<Instant, std::uint64_t>> mMoves;
  std::uint64_t mBytes = 0;
  std::uint64_t mPeak = 0;
};

} // namespace bilberrytrail::standins
