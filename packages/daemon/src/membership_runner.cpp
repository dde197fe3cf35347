#include "membership_runner.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

constexpr Duration kTickPeriod = 25ms;

LogEvent
EventOf(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::Alive:
      return LogEvent::MemberJoined;
    case MemberStatus::Suspect:
      return LogEvent::MemberSuspect;
    case MemberStatus::Dead:
      return LogEvent::MemberDead;
    case MemberStatus::Left:
      return LogEvent::MemberLeft;
  }
  return LogEvent::MemberDead;
}

} // namespace

MembershipRunner::MembershipRunner(Loop& aLoop,
                                   PeerSeal& aSeal,
                                   ControlState& aState,
                                   const MemberRecord& aSelf,
                                   const GossipSettings& aSettings)
  : mLoop(aLoop)
  , mSeal(aSeal)
  , mState(aState)
  , mSocket(aLoop)
  , mGossip(aSelf, aSettings, StableHash64(aSelf.mId.Text()))
{
}

Result<void>
MembershipRunner::Start(const Endpoint& aListen)
{
  if (auto port = mSocket.Bind(aListen); !port) {
    return std::move(port).error();
  }
  mState.SetMembers(mGossip.LiveMembers(), MonotonicNow());
  mLoop.Spawn([this] { ReceiveAll(); });
  mLoop.Spawn([this] { TickAll(); });
  return Ok();
}

void
MembershipRunner::OnNumber(NumberListener aListener)
{
  mOnNumber = std::move(aListener);
}

void
MembershipRunner::Leave()
{
  Perform(mGossip.Leave(MonotonicNow()));
  // The last daemon of a site stays home to all servers until it ends.
  auto others = mGossip.LiveMembers();
  if (!others.empty()) {
    mState.SetMembers(std::move(others), MonotonicNow());
  }
}

void
MembershipRunner::ReceiveAll()
{
  while (true) {
    const auto datagram = mSocket.Receive();
    if (!datagram) {
      return;
    }
    const auto opened = mSeal.OpenForAny(datagram.value().mBody);
    if (!opened) {
      continue;
    }
    const auto message = GossipMessageFromBytes(opened.value().mBody);
    if (message) {
      Perform(mGossip.Receive(message.value(), MonotonicNow()));
    }
  }
}

void
MembershipRunner::TickAll()
{
  while (mLoop.Sleep(kTickPeriod)) {
    const auto now = MonotonicNow();
    mState.Tick(now);
    if (now >= mGossip.NextTick()) {
      Perform(mGossip.Tick(now));
    }
  }
}

void
MembershipRunner::Perform(const GossipActions& aActions)
{
  bool isChanged = false;
  for (const auto& action : aActions) {
    if (const auto* send = std::get_if<SendGossip>(&action)) {
      mSocket.Send(send->mTo, mSeal.SealForAny(ToBytes(send->mMessage)));
    } else if (const auto* change = std::get_if<MemberChanged>(&action)) {
      isChanged = true;
      mState.NoteDead(change->mRecord.mId,
                      change->mRecord.mStatus == MemberStatus::Dead);
      LogLine(EventOf(change->mRecord.mStatus),
              { { "daemon", change->mRecord.mId },
                { "endpoint", ToText(change->mRecord.mEndpoint) } });
    } else if (const auto* number = std::get_if<NumberChanged>(&action)) {
      if (mOnNumber) {
        mOnNumber(number->mNumber);
      }
    }
  }
  if (isChanged) {
    mState.SetMembers(mGossip.LiveMembers(), MonotonicNow());
  }
}

} // namespace bilberrytrail
