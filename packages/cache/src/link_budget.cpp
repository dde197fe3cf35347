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
  return mIdleAt > aNow ? mIdleAt - aNow : Duration();
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
LinkBudget::Schedule(std::uint64_t aBytes, bool aIsPrefetch, Instant aNow)
{
  const double micros =
    static_cast<double>(aBytes) / mLimits.mBytesPerSecond * kMicrosPerSecond;
  LinkReservation reservation;
  reservation.mNumber = ++mLastNumber;
  reservation.mBeginAt = std::max(mIdleAt, aNow);
  reservation.mEndAt = reservation.mBeginAt +
                       Duration(static_cast<std::int64_t>(std::ceil(micros)));
  mIdleAt = reservation.mEndAt;
  mOpenTransfers.emplace(reservation.mNumber, Transfer{ aBytes, aIsPrefetch });
  return reservation;
}

std::optional<LinkReservation>
LinkBudget::Reserve(std::uint64_t aBytes, Instant aNow)
{
  if (Backlog(aNow) > mLimits.mMaxBacklog) {
    return std::nullopt;
  }
  return Schedule(aBytes, false, aNow);
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
  return Schedule(aBytes, true, aNow);
}

std::optional<LinkBudget::Transfer>
LinkBudget::CloseTransfer(std::uint64_t aNumber)
{
  const auto it = mOpenTransfers.find(aNumber);
  if (it == mOpenTransfers.end()) {
    return std::nullopt;
  }
  const auto transfer = it->second;
  mOpenTransfers.erase(it);
  if (transfer.mIsPrefetch) {
    mOpenPrefetchBytes -= transfer.mBytes;
  }
  return transfer;
}

void
LinkBudget::OnUsed(std::uint64_t aNumber, std::uint64_t aBytes)
{
  if (const auto transfer = CloseTransfer(aNumber)) {
    const auto used = std::min(aBytes, transfer->mBytes);
    mUsedBytes += used;
    mUnusedBytes += transfer->mBytes - used;
  }
}

void
LinkBudget::OnCancelled(std::uint64_t aNumber)
{
  (void)CloseTransfer(aNumber);
}

} // namespace bilberrytrail
