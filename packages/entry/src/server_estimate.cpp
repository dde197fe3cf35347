#include "server_pool_state.h"

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

double
ServerPool::WorkAheadOf(const Server& aServer,
                        unsigned aRank,
                        Instant aNow) const noexcept
{
  return aServer.mLoad.WorkAhead(aRank, aNow) +
         mSettings.mRunningTokens * static_cast<double>(aServer.mRunning);
}

double
ServerPool::SpeedOf(const ServiceId& aService) const
{
  const auto it = mSpeeds.find(aService);
  return it == mSpeeds.end() ? mSettings.mTokensPerMs
                             : it->second.TokensPerMs();
}

Duration
ServerPool::TimeOf(const ServiceId& aService, double aTokens) const
{
  return FromMillis(aTokens / SpeedOf(aService));
}

Duration
ServerPool::BaselineTimeOf(const ServerQuery& aQuery) const
{
  const auto it = mBaseline.find(aQuery.mKind);
  const auto most =
    FromMillis(ToMillis(aQuery.mObjective) * mSettings.mBaselineObjectives);
  return it == mBaseline.end() ? Duration(0)
                               : std::min(it->second.Baseline(), most);
}

// Assumes that running requests release their memory evenly over the average
// time for which they hold it.
Duration
ServerPool::MemoryTime(const ServerQuery& aQuery, const Server& aServer) const
{
  double used = 0;
  for (std::size_t n = 0; n <= aQuery.mRank && n < kRanks; ++n) {
    used += aServer.mMemory[n];
  }
  const double room =
    aQuery.mServerMemory * (aQuery.mRank > 0 ? mSettings.mLessUrgentMemory : 1);
  const double missing = used + aQuery.mMemory - room;
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
    const auto& recent = aServer.mDelays[n];
    const double age = ToMillis(aNow - recent.mAt);
    const double left = std::exp(-age / ToMillis(mSettings.mDelayLifetime));
    delay = std::max(delay, FromMillis(ToMillis(recent.mDelay) * left));
  }
  for (const auto& ticket : aServer.mWaiting) {
    const auto& send = mSends.at(ticket);
    // A send that later ones overtook waits for a reason of its own, or its
    // sender has died: it says nothing about the server.
    const bool isOvertaken =
      send.mSentAt < aServer.mDelays[send.mRank].mLastBegunSentAt;
    if (send.mRank <= aRank && !isOvertaken) {
      delay = std::max(
        delay, aNow - send.mSentAt - send.mWorkTime - send.mBaselineTime);
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
    return std::max(delay, mSettings.mPlainRequestTime) * (1 + inFlight) +
           (isFar ? mSettings.mZonePenalty : Duration(0));
  }
  const double tokens = WorkAheadOf(aServer, aQuery.mRank, aNow) +
                        aQuery.mWork + MissAt(aQuery, aServer, aPlace);
  return BaselineTimeOf(aQuery) + delay + TimeOf(aQuery.mService, tokens) +
         MemoryTime(aQuery, aServer);
}

ServerQuery
ServerPool::ScaledToAverage(const ServerQuery& aQuery) const
{
  const auto it = mSizes.find(aQuery.mKind);
  if (!aQuery.mModel || aQuery.mMemory <= 0 || it == mSizes.end()) {
    return aQuery;
  }
  const double factor = it->second.Average() / aQuery.mMemory;
  ServerQuery scaled = aQuery;
  scaled.mWork *= factor;
  scaled.mMissWork *= factor;
  scaled.mSharedTokens *= factor;
  scaled.mMemory *= factor;
  return scaled;
}

Duration
ServerPool::CostAt(const ServerQuery& aQuery,
                   const Server& aServer,
                   std::size_t aPlace,
                   Instant aNow) const
{
  double penalties = 0;
  if (aQuery.mModel &&
      aServer.VersionOf(*aQuery.mModel) < aQuery.mNewestVersion) {
    penalties += mSettings.mOldWeightsObjectives;
  }
  if (!aServer.mPace.Allows(WaitingUpTo(aServer, aQuery.mRank))) {
    penalties += mSettings.mPacedObjectives;
  }
  return TimeAt(aQuery, aServer, aPlace, aNow) +
         FromMillis(ToMillis(aQuery.mObjective) * penalties);
}

std::size_t
ServerPool::WaitingUpTo(const Server& aServer, unsigned aRank) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aServer.mWaiting, [&](SendTicket aTicket) {
      return mSends.at(aTicket).mRank <= aRank;
    }));
}

} // namespace bilberrytrail
