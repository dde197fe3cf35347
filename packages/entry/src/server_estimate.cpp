#include "server_pool_state.h"

#include <cmath>

namespace bilberrytrail {

double
ServerPool::WorkBefore(const Server& aServer,
                       unsigned aRank,
                       Instant aNow) const noexcept
{
  return aServer.mLoad.Before(aRank, aNow) +
         mSettings.mRunningTokens * static_cast<double>(aServer.mRunning);
}

Duration
ServerPool::TimeOf(double aTokens) const noexcept
{
  return FromMillis(aTokens / mSettings.mTokensPerMs);
}

Duration
ServerPool::UsualTimeOf(const ServerQuery& aQuery) const
{
  const auto it = mUsual.find(aQuery.mKind);
  const auto most =
    FromMillis(ToMillis(aQuery.mObjective) * mSettings.mUsualObjectives);
  return it == mUsual.end() ? Duration(0) : std::min(it->second.Usual(), most);
}

// Memory is given back evenly over the time for which requests hold it.
Duration
ServerPool::MemoryTime(const ServerQuery& aQuery, const Server& aServer) const
{
  double used = 0;
  for (std::size_t n = 0; n <= aQuery.mRank && n < kRanks; ++n) {
    used += aServer.mMemory[n];
  }
  const double missing = used + aQuery.mMemory - aQuery.mServerMemory;
  if (aQuery.mServerMemory <= 0 || missing <= 0 || used <= 0) {
    return Duration(0);
  }
  return FromMillis(ToMillis(mHoldTime) * std::min(missing / used, 1.0));
}

Duration
ServerPool::DelayOf(const Server& aServer, unsigned aRank, Instant aNow) const
{
  Duration delay{};
  for (std::size_t n = 0; n <= aRank; ++n) {
    const auto& late = aServer.mDelays[n];
    const double age = ToMillis(aNow - late.mAt);
    const double left = std::exp(-age / ToMillis(mSettings.mDelayLifetime));
    delay = std::max(delay, FromMillis(ToMillis(late.mDelay) * left));
  }
  for (const auto& ticket : aServer.mWaiting) {
    const auto& send = mSends.at(ticket);
    // One that others overtook waits for something of its own, or its sender
    // has died.
    const bool isOvertaken =
      send.mSentAt < aServer.mDelays[send.mRank].mBegunSentAt;
    if (send.mRank <= aRank && !isOvertaken) {
      delay =
        std::max(delay, aNow - send.mSentAt - send.mWorkTime - send.mUsualTime);
    }
  }
  return delay;
}

double
ServerPool::MissAt(const ServerQuery& aQuery,
                   const Server& aServer,
                   std::size_t aPlace) const
{
  const double miss =
    aPlace > 0 ? mSettings.mMissFactor * aQuery.mMissWork : aQuery.mMissWork;
  if (!mSettings.mSeesAllPrompts || aQuery.mAffinity == 0) {
    return aPlace > 0 ? miss : 0;
  }
  return aServer.mParts.Contains(aServer.PartOf(aQuery)) ? 0 : miss;
}

Duration
ServerPool::TimeAt(const ServerQuery& aQuery,
                   const Server& aServer,
                   std::size_t aPlace,
                   Instant aNow) const
{
  const auto delay = DelayOf(aServer, aQuery.mRank, aNow);
  if (!aQuery.mModel) {
    const auto inFlight =
      static_cast<std::int64_t>(aServer.mWaiting.size() + aServer.mRunning);
    const bool isFar = aServer.mRecord.mZone != mOwnZone;
    return std::max(delay, mSettings.mPlainTime) * (1 + inFlight) +
           (isFar ? mSettings.mZoneTime : Duration(0));
  }
  const double tokens = WorkBefore(aServer, aQuery.mRank, aNow) + aQuery.mWork +
                        MissAt(aQuery, aServer, aPlace);
  return UsualTimeOf(aQuery) + delay + TimeOf(tokens) +
         MemoryTime(aQuery, aServer);
}

Duration
ServerPool::CostAt(const ServerQuery& aQuery,
                   const Server& aServer,
                   std::size_t aPlace,
                   Instant aNow) const
{
  const auto time = TimeAt(aQuery, aServer, aPlace, aNow);
  const bool isOld =
    aQuery.mModel && aServer.VersionOf(*aQuery.mModel) < aQuery.mNewestVersion;
  return isOld ? time + FromMillis(ToMillis(aQuery.mObjective) *
                                   mSettings.mOldWeightsObjectives)
               : time;
}

} // namespace bilberrytrail
