#include <bilberrytrail/entry/retry_meter.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Slices in a window.
constexpr std::int64_t kSlices = 20;

} // namespace

void
RetryMeter::SetDaemons(std::size_t aDaemons, Instant aNow)
{
  const auto daemons = std::max<std::size_t>(aDaemons, 1);
  while (!mLeavingDaemons.empty() && mLeavingDaemons.back().second <= daemons) {
    mLeavingDaemons.pop_back();
  }
  if (mIsCountKnown && daemons < mDaemons) {
    mLeavingDaemons.emplace_back(aNow, mDaemons);
  }
  mDaemons = daemons;
  mIsCountKnown = true;
}

std::size_t
RetryMeter::Daemons(Instant aNow)
{
  while (!mLeavingDaemons.empty() &&
         mLeavingDaemons.front().first + mSettings.mWindow <= aNow) {
    mLeavingDaemons.pop_front();
  }
  return mLeavingDaemons.empty() ? mDaemons : mLeavingDaemons.front().second;
}

RetryMeter::Slice&
RetryMeter::Current(Slices& aSlices, Instant aNow) const
{
  const auto index = aNow.time_since_epoch() / (mSettings.mWindow / kSlices);
  // The current slice has just begun, perhaps: one more than kSlices make up a
  // whole window.
  while (!aSlices.empty() && aSlices.front().mIndex < index - kSlices) {
    aSlices.pop_front();
  }
  if (aSlices.empty() || aSlices.back().mIndex < index) {
    aSlices.push_back({ index, 0, 0 });
  }
  return aSlices.back();
}

double
RetryMeter::Allowance(const ServiceId& aService, Instant aNow)
{
  auto& slices = mServices[aService];
  const auto current = Current(slices, aNow).mIndex;
  double requests = 0;
  double retries = 0;
  for (const auto& it : slices) {
    // The oldest slice may lie before the window.
    if (it.mIndex > current - kSlices) {
      requests += static_cast<double>(it.mRequests);
    }
    retries += static_cast<double>(it.mRetryCount);
  }
  const double age = std::clamp(
    ToMillis(aNow - mStartedAt) / ToMillis(mSettings.mWindow), 0.0, 1.0);
  const double slack =
    age * mSettings.mSlack / static_cast<double>(Daemons(aNow));
  const double share = age < 1 ? mSettings.mStartShare : mSettings.mUsedShare;
  return share * (mSettings.mRatio * requests + slack) - retries;
}

void
RetryMeter::AddRequest(const ServiceId& aService, Instant aNow)
{
  ++Current(mServices[aService], aNow).mRequests;
}

bool
RetryMeter::TryRetry(const ServiceId& aService, Instant aNow)
{
  if (Allowance(aService, aNow) < 1) {
    return false;
  }
  ++Current(mServices[aService], aNow).mRetryCount;
  return true;
}

} // namespace bilberrytrail
