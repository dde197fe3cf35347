#include "platform/weight_store.h"

#include <algorithm>

namespace bilberrytrail::standins {

namespace {

constexpr Duration kShareStep = 10ms;

} // namespace

WeightStore::WeightStore(Loop& aLoop,
                         Duration aDownloadTime,
                         std::uint64_t aFullSpeed,
                         std::uint64_t aMost)
  : mLoop(aLoop)
  , mDownloadTime(aDownloadTime)
  , mFullSpeed(std::max<std::uint64_t>(aFullSpeed, 1))
  , mMost(aMost)
{
}

HttpResponse
WeightStore::Download()
{
  if (mRunning >= mMost) {
    return NotRunResponse("too many downloads");
  }
  ++mRunning;
  mHighest = std::max(mHighest, mRunning);
  AwaitDownload();
  --mRunning;
  ++mDownloads;
  return JsonResponse(Json::object());
}

void
WeightStore::AwaitDownload()
{
  auto remaining = mDownloadTime;
  while (remaining > Duration(0)) {
    const auto step = std::min(remaining, kShareStep);
    const auto sharers = std::max(mRunning, mFullSpeed);
    if (!mLoop.Sleep(step * sharers / mFullSpeed)) {
      return;
    }
    remaining -= step;
  }
}

} // namespace bilberrytrail::standins
