#include "gossip_impl.h"

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

// Number of members from which a joining or previously paused daemon requests
// the full state at once.
constexpr std::size_t kSyncTargets = 3;

// A new member requests the full state from one random peer after another. The
// back-off between requests doubles up to this limit, after which they stop; a
// reply that adds a live member resets it.
constexpr Duration kMaxSyncBackoff = 8s;

} // namespace

Gossip::Impl::Impl(MemberRecord aSelf,
                   GossipSettings aSettings,
                   std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mSelf(std::move(aSelf))
{
  mSelf.mStatus = MemberStatus::Alive;
  mChanges.Push(mSelf);
}

std::size_t
Gossip::Impl::MemberCount() const
{
  return mTable.LiveCount() + 1;
}

Duration
Gossip::Impl::SuspicionTimeout() const
{
  const double scale =
    std::max(1.0, std::log10(static_cast<double>(MemberCount()) + 1));
  return FromMillis(mSettings.mSuspicionPeriods * scale *
                    ToMillis(mSettings.mPeriod));
}

void
Gossip::Impl::StartPeriod(Instant aNow, GossipActions& aActions)
{
  ++mPeriods;
  mNextPeriod = std::max(mNextPeriod + mSettings.mPeriod, aNow);
  if (mProbe) {
    MemberRecord suspect = mProbe->mTarget;
    mProbe.reset();
    suspect.mStatus = MemberStatus::Suspect;
    ApplyChange(suspect, true, aNow, aActions);
  }
  ExpireSuspects(aNow, aActions);
  mTable.RemoveDeparted(aNow, mSettings.mForgetAfter);
  std::erase_if(mRelays, [&](const Relay& aRelay) {
    return aRelay.mSentAt + 2 * mSettings.mPeriod <= aNow;
  });
  if (mSelf.mStatus == MemberStatus::Left) {
    return;
  }
  Resynchronise(aNow, aActions);
  if (mPeriods % mSettings.mProbePeriods == 0) {
    PingUnreachableAddress(aActions);
  }
  PingNext(aNow, aActions);
}

void
Gossip::Impl::PingNext(Instant aNow, GossipActions& aActions)
{
  if (mTable.LiveCount() == 0) {
    return;
  }
  const MemberRecord* target = nullptr;
  while (target == nullptr) {
    if (mPingOrder.empty()) {
      for (const auto& it : mTable.Live()) {
        mPingOrder.insert(
          mPingOrder.begin() +
            static_cast<std::ptrdiff_t>(mRandom.Below(mPingOrder.size() + 1)),
          it.mId);
      }
    }
    const MemberRecord* next = mTable.Find(mPingOrder.back());
    mPingOrder.pop_back();
    target = next != nullptr && IsLive(next->mStatus) ? next : nullptr;
  }
  mProbe = Probe{ *target, ++mSequence, aNow, false };
  GossipMessage ping = Compose(GossipKind::Ping, mProbe->mSequence);
  ping.mTarget = target->mId;
  if (target->mStatus == MemberStatus::Suspect) {
    ping.mMembers.push_back(*target);
  }
  Send(target->mEndpoint, std::move(ping), aActions);
}

void
Gossip::Impl::RequestIndirectPings(GossipActions& aActions)
{
  mProbe->mIndirectPingsRequested = true;
  std::vector<MemberRecord> peers = mTable.Live();
  std::erase_if(peers, [&](const MemberRecord& aPeer) {
    return aPeer.mId == mProbe->mTarget.mId;
  });
  for (const auto& it :
       PickRandom(std::move(peers), mSettings.mIndirectPings, mRandom)) {
    GossipMessage request = Compose(GossipKind::PingRequest, mProbe->mSequence);
    request.mTarget = mProbe->mTarget.mId;
    request.mTargetEndpoint = mProbe->mTarget.mEndpoint;
    Send(it.mEndpoint, std::move(request), aActions);
  }
}

// Pings one listed address without a live member, or one dead member, to detect
// a healed partition or a daemon that joined through other members.
void
Gossip::Impl::PingUnreachableAddress(GossipActions& aActions)
{
  std::vector<Endpoint> unreachable;
  for (const auto& it : mListedEndpoints) {
    if (!mTable.HasLiveAt(it)) {
      unreachable.push_back(it);
    }
  }
  for (const auto& it : mTable.Departed()) {
    if (it.mStatus == MemberStatus::Dead && !mTable.HasLiveAt(it.mEndpoint) &&
        it.mEndpoint != mSelf.mEndpoint) {
      unreachable.push_back(it.mEndpoint);
    }
  }
  if (unreachable.empty()) {
    return;
  }
  Send(unreachable[mRandom.Below(unreachable.size())],
       Compose(GossipKind::Ping, ++mSequence),
       aActions);
}

// A new daemon requests the full state with back-off. A daemon without any live
// peer asks several listed addresses in each period.
void
Gossip::Impl::Resynchronise(Instant aNow, GossipActions& aActions)
{
  if (mTable.LiveCount() == 0) {
    const std::size_t count = std::min(kSyncTargets, mListedEndpoints.size());
    for (std::size_t n = 0; n < count; ++n) {
      const Endpoint& to =
        mListedEndpoints[mListedIndex++ % mListedEndpoints.size()];
      Send(to, Compose(GossipKind::SyncRequest, ++mSequence), aActions);
    }
    return;
  }
  if (aNow < mNextSync || mSyncBackoff > kMaxSyncBackoff) {
    return;
  }
  mNextSync = aNow + mSyncBackoff;
  mSyncBackoff *= 2;
  const std::vector<MemberRecord> live = mTable.Live();
  Send(live[mRandom.Below(live.size())].mEndpoint,
       Compose(GossipKind::SyncRequest, ++mSequence),
       aActions);
}

void
Gossip::Impl::ExpireSuspects(Instant aNow, GossipActions& aActions)
{
  for (MemberRecord dead : mTable.ExpiredSuspects(aNow)) {
    dead.mStatus = MemberStatus::Dead;
    ApplyChange(dead, true, aNow, aActions);
  }
}

// Discards pending pings from before the pause, and requests the full state
// from several members, which shows whether they have declared this daemon
// dead.
void
Gossip::Impl::RecoverFromPause(Instant aNow, GossipActions& aActions)
{
  mProbe.reset();
  mRelays.clear();
  mTable.RestartSuspicions(aNow, SuspicionTimeout());
  mNextPeriod = aNow;
  mNextSync = aNow;
  mSyncBackoff = mSettings.mPeriod;
  const std::vector<MemberRecord> live = mTable.Live();
  for (std::size_t n = 0; n < std::min(kSyncTargets, live.size()); ++n) {
    Send(live[mRandom.Below(live.size())].mEndpoint,
         Compose(GossipKind::SyncRequest, ++mSequence),
         aActions);
  }
}

} // namespace bilberrytrail
