#include <bilberrytrail/cache/link_budget.h>

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMinBytesPerSecond = 1;

} // namespace

LinkBudget::LinkBudget(const LinkLimits& aLimits)
  : mLimits(aLimits)
{
  mLimits.mBytesPerSecond =
    std::max(mLimits.mBytesPerSecond, kMinBytesPerSecond);
}

Duration
LinkBudget::Backlog(Instant aNow) const
{
  return mFreeAt > aNow ? mFreeAt - aNow : Duration();
}

std::uint64_t
LinkBudget::BacklogBytes(Instant aNow) const
{
  const double seconds =
    static_cast<double>(Backlog(aNow).count()) / kMicrosPerSecond;
  return static_cast<std::uint64_t>(seconds * mLimits.mBytesPerSecond);
}

double
LinkBudget::UsedShare() const
{
  const auto known = mUsedBytes + mUnusedBytes;
  return known == 0
           ? 1.0
           : static_cast<double>(mUsedBytes) / static_cast<double>(known);
}

LinkReservation
LinkBudget::Place(std::uint64_t aBytes, bool aIsPrefetch, Instant aNow)
{
  const double micros =
    static_cast<double>(aBytes) / mLimits.mBytesPerSecond * kMicrosPerSecond;
  LinkReservation place;
  place.mNumber = ++mLastNumber;
  place.mBeginAt = std::max(mFreeAt, aNow);
  place.mEndAt =
    place.mBeginAt + Duration(static_cast<std::int64_t>(std::ceil(micros)));
  mFreeAt = place.mEndAt;
  mOpen.emplace(place.mNumber, Transfer{ aBytes, aIsPrefetch });
  return place;
}

std::optional<LinkReservation>
LinkBudget::Reserve(std::uint64_t aBytes, Instant aNow)
{
  if (Backlog(aNow) > mLimits.mMaxBacklog) {
    return std::nullopt;
  }
  return Place(aBytes, false, aNow);
}

std::optional<LinkReservation>
LinkBudget::ReservePrefetch(std::uint64_t aBytes, Instant aNow)
{
  const auto atRisk = mUnusedBytes + mOpenPrefetchBytes + aBytes;
  const double allowed =
    mLimits.mMaxUnusedShare * static_cast<double>(mUsedBytes + atRisk);
  if (Backlog(aNow) > mLimits.mMaxPrefetchBacklog ||
      static_cast<double>(atRisk) > allowed) {
    return std::nullopt;
  }
  mOpenPrefetchBytes += aBytes;
  return Place(aBytes, true, aNow);
}

std::optional<LinkBudget::Transfer>
LinkBudget::Take(std::uint64_t aNumber)
{
  const auto it = mOpen.find(aNumber);
  if (it == mOpen.end()) {
    return std::nullopt;
  }
  const auto transfer = it->second;
  mOpen.erase(it);
  if (transfer.mIsPrefetch) {
    mOpenPrefetchBytes -= transfer.mBytes;
  }
  return transfer;
}

void
LinkBudget::OnUsed(std::uint64_t aNumber, std::uint64_t aBytes)
{
  if (const auto transfer = Take(aNumber)) {
    const auto used = std::min(aBytes, transfer->mBytes);
    mUsedBytes += used;
    mUnusedBytes += transfer->mBytes - used;
  }
}

void
LinkBudget::OnCancelled(std::uint64_t aNumber)
{
  (void)Take(aNumber);
}

} // namespace bilberrytrail
