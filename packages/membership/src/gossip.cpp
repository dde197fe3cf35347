#include "gossip_impl.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace bilberrytrail {

namespace {

// Periods until some member's ping to a dead member has failed. In each period
// a member is pinged by at least one other with probability 1 - 1/e.
constexpr int kPingFailurePeriods = 5;

double
DecimalLog(std::size_t aMembers)
{
  return std::max(1.0, std::log10(static_cast<double>(aMembers) + 1));
}

} // namespace

Duration
DeathDetectionBound(const GossipSettings& aSettings, std::size_t aMembers)
{
  const auto dissemination = std::bit_width(aMembers);
  const double periods = kPingFailurePeriods +
                         aSettings.mSuspicionPeriods * DecimalLog(aMembers) +
                         static_cast<double>(dissemination);
  return FromMillis(periods * ToMillis(aSettings.mPeriod));
}

Gossip::Gossip(MemberRecord aSelf,
               GossipSettings aSettings,
               std::uint64_t aSeed)
  : mImpl(std::make_unique<Impl>(std::move(aSelf), aSettings, aSeed))
{
}

Gossip::~Gossip() = default;
Gossip::Gossip(Gossip&&) noexcept = default;
Gossip&
Gossip::operator=(Gossip&&) noexcept = default;

const MemberRecord&
Gossip::Self() const noexcept
{
  return mImpl->mSelf;
}

std::vector<MemberRecord>
Gossip::LiveMembers() const
{
  // The table is ordered by id; insert this daemon's record at its position.
  std::vector<MemberRecord> members = mImpl->mTable.Live();
  const MemberRecord& self = mImpl->mSelf;
  if (IsLive(self.mStatus)) {
    const auto place =
      std::lower_bound(members.begin(),
                       members.end(),
                       self.mId,
                       [](const MemberRecord& aMember, const DaemonId& aId) {
                         return aMember.mId < aId;
                       });
    members.insert(place, self);
  }
  return members;
}

std::size_t
Gossip::LiveCount() const noexcept
{
  return mImpl->mTable.LiveCount() + (IsLive(mImpl->mSelf.mStatus) ? 1U : 0U);
}

std::uint64_t
Gossip::NumberOf(std::string_view aName) const
{
  const auto it = mImpl->mNumbers.find(aName);
  return it == mImpl->mNumbers.end() ? 0 : it->second;
}

std::vector<SharedNumber>
Gossip::Numbers() const
{
  std::vector<SharedNumber> numbers;
  for (const auto& [name, value] : mImpl->mNumbers) {
    numbers.push_back({ name, value });
  }
  return numbers;
}

Instant
Gossip::NextTick() const noexcept
{
  Instant due = mImpl->mNextPeriod;
  if (mImpl->mProbe && !mImpl->mProbe->mIndirectPingsRequested) {
    due = std::min(due, mImpl->mProbe->mSentAt + mImpl->mSettings.mPingTimeout);
  }
  return due;
}

void
Gossip::SetListedEndpoints(std::vector<Endpoint> aListed)
{
  std::erase(aListed, mImpl->mSelf.mEndpoint);
  mImpl->mListedEndpoints = std::move(aListed);
}

void
Gossip::RaiseNumber(std::string_view aName, std::uint64_t aValue)
{
  mImpl->ApplyChange(SharedNumber{ std::string(aName), aValue }, true, nullptr);
}

GossipActions
Gossip::Tick(Instant aNow)
{
  GossipActions actions;
  Impl& impl = *mImpl;
  if (!impl.mStartedAt) {
    impl.mStartedAt = aNow;
    impl.mLastTick = aNow;
    impl.mNextPeriod = aNow;
    impl.mNextSync = aNow;
    impl.mSyncBackoff = impl.mSettings.mPeriod;
  }
  if (aNow - impl.mLastTick > impl.mSettings.mPauseThreshold) {
    impl.RecoverFromPause(aNow, actions);
  }
  impl.mLastTick = aNow;
  if (impl.mProbe && !impl.mProbe->mIndirectPingsRequested &&
      aNow >= impl.mProbe->mSentAt + impl.mSettings.mPingTimeout) {
    impl.RequestIndirectPings(actions);
  }
  if (aNow >= impl.mNextPeriod) {
    impl.StartPeriod(aNow, actions);
  }
  return actions;
}

GossipActions
Gossip::Receive(const GossipMessage& aMessage, Instant aNow)
{
  GossipActions actions;
  if (aMessage.mSender.mId != mImpl->mSelf.mId) {
    mImpl->Handle(aMessage, aNow, actions);
  }
  return actions;
}

GossipActions
Gossip::Leave(Instant aNow)
{
  GossipActions actions;
  Impl& impl = *mImpl;
  impl.mSelf.mStatus = MemberStatus::Left;
  impl.mProbe.reset();
  impl.mNextPeriod = aNow + impl.mSettings.mPeriod;
  std::vector<MemberRecord> peers = impl.mTable.Live();
  const auto noticeCount =
    static_cast<std::size_t>(std::bit_width(peers.size())) + 2;
  for (const auto& it :
       PickRandom(std::move(peers), noticeCount, impl.mRandom)) {
    impl.Send(it.mEndpoint, impl.Compose(GossipKind::Notice, 0), actions);
  }
  return actions;
}

} // namespace bilberrytrail
