#include "gossip_impl.h"

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

// Members that a joining or paused daemon asks for the whole state at once.
constexpr std::size_t kSyncTargets = 3;

// A new member asks one peer after another for the whole state, with pauses
// that double up to this length while the answers name nobody new.
constexpr Duration kLongestSyncPause = 8s;

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
Gossip::Impl::Suspicion() const
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
    Learn(suspect, true, aNow, aActions);
  }
  ExpireSuspects(aNow, aActions);
  mTable.Forget(aNow, mSettings.mForgetAfter);
  std::erase_if(mRelays, [&](const Relay& aRelay) {
    return aRelay.mSentAt + 2 * mSettings.mPeriod <= aNow;
  });
  if (mSelf.mStatus == MemberStatus::Left) {
    return;
  }
  Resynchronise(aNow, aActions);
  if (mPeriods % mSettings.mProbePeriods == 0) {
    TryLostAddress(aActions);
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
    if (mOrder.empty()) {
      for (const auto& it : mTable.Live()) {
        mOrder.insert(mOrder.begin() + static_cast<std::ptrdiff_t>(
                                         mRandom.Below(mOrder.size() + 1)),
                      it.mId);
      }
    }
    const MemberRecord* next = mTable.Find(mOrder.back());
    mOrder.pop_back();
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
Gossip::Impl::AskOthers(GossipActions& aActions)
{
  mProbe->mAskedOthers = true;
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

// Tries one listed address without a live member, or one dead member, so that
// a healed partition and a daemon that joined elsewhere are found.
void
Gossip::Impl::TryLostAddress(GossipActions& aActions)
{
  std::vector<Endpoint> lost;
  for (const auto& it : mListed) {
    if (!mTable.HasLiveAt(it)) {
      lost.push_back(it);
    }
  }
  for (const auto& it : mTable.Gone()) {
    if (it.mStatus == MemberStatus::Dead && !mTable.HasLiveAt(it.mEndpoint) &&
        it.mEndpoint != mSelf.mEndpoint) {
      lost.push_back(it.mEndpoint);
    }
  }
  if (lost.empty()) {
    return;
  }
  Send(lost[mRandom.Below(lost.size())],
       Compose(GossipKind::Ping, ++mSequence),
       aActions);
}

// A new daemon asks for the whole state with growing pauses; one that knows
// nobody asks several listed addresses in each period.
void
Gossip::Impl::Resynchronise(Instant aNow, GossipActions& aActions)
{
  if (mTable.LiveCount() == 0) {
    const std::size_t count = std::min(kSyncTargets, mListed.size());
    for (std::size_t n = 0; n < count; ++n) {
      const Endpoint& to = mListed[mListedIndex++ % mListed.size()];
      Send(to, Compose(GossipKind::SyncRequest, ++mSequence), aActions);
    }
    return;
  }
  if (aNow < mNextSync || mSyncPause > kLongestSyncPause) {
    return;
  }
  mNextSync = aNow + mSyncPause;
  mSyncPause *= 2;
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
    Learn(dead, true, aNow, aActions);
  }
}

// Drops what was awaited before the pause, and asks several members for the
// whole state, from which this daemon learns that it may have been declared
// dead.
void
Gossip::Impl::RecoverFromPause(Instant aNow, GossipActions& aActions)
{
  mProbe.reset();
  mRelays.clear();
  mTable.RestartSuspicions(aNow, Suspicion());
  mNextPeriod = aNow;
  mNextSync = aNow;
  mSyncPause = mSettings.mPeriod;
  const std::vector<MemberRecord> live = mTable.Live();
  for (std::size_t n = 0; n < std::min(kSyncTargets, live.size()); ++n) {
    Send(live[mRandom.Below(live.size())].mEndpoint,
         Compose(GossipKind::SyncRequest, ++mSequence),
         aActions);
  }
}

} // namespace bilberrytrail
