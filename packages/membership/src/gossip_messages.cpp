#include "gossip_impl.h"

#include <algorithm>
#include <bit>

namespace bilberrytrail {

namespace {

// Shared numbers repeated in turn on every message, so that a member eventually
// receives the changes that it missed.
constexpr std::size_t kRepeatedNumbersPerMessage = 2;

} // namespace

void
Gossip::Impl::Handle(const GossipMessage& aMessage,
                     Instant aNow,
                     GossipActions& aActions)
{
  const bool isSync = aMessage.mKind == GossipKind::SyncReply;
  const std::size_t known = mTable.LiveCount();
  for (const auto& it : aMessage.mMembers) {
    ApplyChange(it, !isSync, aNow, aActions);
  }
  for (const auto& it : aMessage.mNumbers) {
    ApplyChange(it, !isSync, &aActions);
  }
  ApplySender(aMessage.mSender, aNow, aActions);
  if (isSync && mTable.LiveCount() > known) {
    mSyncBackoff = mSettings.mPeriod;
  }
  switch (aMessage.mKind) {
    case GossipKind::Ping:
      HandlePing(aMessage, aActions);
      break;
    case GossipKind::Ack:
      HandleAck(aMessage, aActions);
      break;
    case GossipKind::PingRequest:
      HandlePingRequest(aMessage, aNow, aActions);
      break;
    case GossipKind::SyncRequest:
      ReplySync(aMessage.mSender.mEndpoint, aActions);
      break;
    case GossipKind::SyncReply:
    case GossipKind::Notice:
      break;
  }
}

// The answer to a ping for an earlier process at this address has sequence 0,
// so it does not count as that process's answer. Its sender record shows which
// process is there now.
void
Gossip::Impl::HandlePing(const GossipMessage& aMessage, GossipActions& aActions)
{
  const bool isTarget =
    aMessage.mTarget.IsEmpty() || aMessage.mTarget == mSelf.mId;
  GossipMessage ack =
    Compose(GossipKind::Ack, isTarget ? aMessage.mSequence : 0);
  ack.mTarget = mSelf.mId;
  const MemberRecord* sender = mTable.Find(aMessage.mSender.mId);
  if (sender != nullptr && sender->mStatus != MemberStatus::Alive) {
    ack.mMembers.push_back(*sender);
  }
  Send(aMessage.mSender.mEndpoint, std::move(ack), aActions);
}

void
Gossip::Impl::HandleAck(const GossipMessage& aMessage, GossipActions& aActions)
{
  if (mProbe && mProbe->mSequence == aMessage.mSequence &&
      mProbe->mTarget.mId == aMessage.mTarget) {
    mProbe.reset();
    return;
  }
  const auto relay =
    std::find_if(mRelays.begin(), mRelays.end(), [&](const Relay& aRelay) {
      return aRelay.mSequence == aMessage.mSequence;
    });
  if (relay == mRelays.end()) {
    return;
  }
  GossipMessage ack = Compose(GossipKind::Ack, relay->mRequesterSequence);
  ack.mTarget = aMessage.mTarget;
  Send(relay->mRequester, std::move(ack), aActions);
  mRelays.erase(relay);
}

void
Gossip::Impl::HandlePingRequest(const GossipMessage& aMessage,
                                Instant aNow,
                                GossipActions& aActions)
{
  mRelays.push_back(
    { ++mSequence, aMessage.mSender.mEndpoint, aMessage.mSequence, aNow });
  GossipMessage ping = Compose(GossipKind::Ping, mSequence);
  ping.mTarget = aMessage.mTarget;
  Send(aMessage.mTargetEndpoint, std::move(ping), aActions);
}

void
Gossip::Impl::ReplySync(const Endpoint& aTo, GossipActions& aActions)
{
  GossipMessage reply;
  reply.mKind = GossipKind::SyncReply;
  reply.mSender = mSelf;
  reply.mMembers = mTable.Live();
  for (const auto& it : mTable.Departed()) {
    if (reply.mMembers.size() < kMaxGossipMembers) {
      reply.mMembers.push_back(it);
    }
  }
  for (const auto& [name, value] : mNumbers) {
    reply.mNumbers.push_back({ name, value });
  }
  aActions.emplace_back(SendGossip{ aTo, std::move(reply) });
}

// A message received directly from a process proves that earlier processes at
// its address are dead.
void
Gossip::Impl::ApplySender(const MemberRecord& aSender,
                          Instant aNow,
                          GossipActions& aActions)
{
  ApplyChange(aSender, true, aNow, aActions);
  if (aSender.mEndpoint == mSelf.mEndpoint) {
    return;
  }
  for (MemberRecord old : mTable.OthersAt(aSender.mEndpoint, aSender.mId)) {
    old.mStatus = MemberStatus::Dead;
    ApplyChange(old, true, aNow, aActions);
  }
}

// Other members consider this daemon suspect or dead; a higher incarnation
// overrides that.
void
Gossip::Impl::Refute(const MemberRecord& aRecord)
{
  const bool isAlive = aRecord.mStatus == MemberStatus::Alive;
  if (mSelf.mStatus == MemberStatus::Left ||
      aRecord.mIncarnation < mSelf.mIncarnation ||
      (isAlive && aRecord.mIncarnation == mSelf.mIncarnation)) {
    return;
  }
  mSelf.mIncarnation = aRecord.mIncarnation.Next();
  mChanges.Push(mSelf);
  if (aRecord.mStatus == MemberStatus::Dead) {
    mNextSync = {};
    mSyncBackoff = mSettings.mPeriod;
  }
}

void
Gossip::Impl::ApplyChange(const MemberRecord& aRecord,
                          bool aDisseminate,
                          Instant aNow,
                          GossipActions& aActions)
{
  if (aRecord.mId == mSelf.mId) {
    Refute(aRecord);
    return;
  }
  MemberRecord record = aRecord;
  if (record.mEndpoint == mSelf.mEndpoint && IsLive(record.mStatus)) {
    // An earlier process at this address.
    record.mStatus = MemberStatus::Dead;
  }
  const auto outcome = mTable.Merge(record, aNow, SuspicionTimeout());
  if (outcome != MemberTable::Outcome::Changed) {
    return;
  }
  aActions.emplace_back(MemberChanged{ record });
  if (aDisseminate) {
    mChanges.Push(record);
  }
}

void
Gossip::Impl::ApplyChange(const SharedNumber& aNumber,
                          bool aDisseminate,
                          GossipActions* aActions)
{
  const auto found = mNumbers.find(aNumber.mName);
  if (found == mNumbers.end() && mNumbers.size() >= kMaxGossipNumbers) {
    return;
  }
  if (found != mNumbers.end() && found->second >= aNumber.mValue) {
    return;
  }
  mNumbers[aNumber.mName] = aNumber.mValue;
  if (aDisseminate) {
    mChanges.Push(aNumber);
  }
  if (aActions != nullptr) {
    aActions->emplace_back(NumberChanged{ aNumber });
  }
}

GossipMessage
Gossip::Impl::Compose(GossipKind aKind, std::uint64_t aSequence)
{
  GossipMessage message;
  message.mKind = aKind;
  message.mSequence = aSequence;
  message.mSender = mSelf;
  const std::size_t times =
    mSettings.mRetransmitFactor *
    static_cast<std::size_t>(std::bit_width(MemberCount()));
  mChanges.Fill(message, mSettings.mChangeBytes, times);
  AddRepeatedState(message);
  return message;
}

void
Gossip::Impl::AddRepeatedState(GossipMessage& aMessage)
{
  const MemberRecord* member = mTable.NextLive(mLastRepeatedMember);
  if (member != nullptr) {
    mLastRepeatedMember = member->mId;
    aMessage.mMembers.push_back(*member);
  }
  const std::size_t count =
    std::min(kRepeatedNumbersPerMessage, mNumbers.size());
  for (std::size_t n = 0; n < count; ++n) {
    auto it = mNumbers.upper_bound(mLastRepeatedNumber);
    if (it == mNumbers.end()) {
      it = mNumbers.begin();
    }
    mLastRepeatedNumber = it->first;
    aMessage.mNumbers.push_back({ it->first, it->second });
  }
}

void
Gossip::Impl::Send(const Endpoint& aTo,
                   GossipMessage aMessage,
                   GossipActions& aActions)
{
  aActions.emplace_back(SendGossip{ aTo, std::move(aMessage) });
}

} // namespace bilberrytrail
