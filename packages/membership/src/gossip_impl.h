#pragma once

#include "change_queue.h"
#include "member_table.h"

#include <bilberrytrail/membership/gossip.h>

#include <map>
#include <optional>
#include <string>

namespace bilberrytrail {

// State of a Gossip and the steps of its protocol.
struct Gossip::Impl
{
  // The ping of the present period.
  struct Probe
  {
    MemberRecord mTarget;
    std::uint64_t mSequence = 0;
    Instant mSentAt;
    bool mAskedOthers = false;
  };

  // A ping sent for another member.
  struct Relay
  {
    std::uint64_t mSequence = 0;
    Endpoint mRequester;
    std::uint64_t mRequesterSequence = 0;
    Instant mSentAt;
  };

  Impl(MemberRecord aSelf, GossipSettings aSettings, std::uint64_t aSeed);

  [[nodiscard]] std::size_t MemberCount() const;
  [[nodiscard]] Duration Suspicion() const;

  // Timers.
  void StartPeriod(Instant aNow, GossipActions& aActions);
  void PingNext(Instant aNow, GossipActions& aActions);
  void AskOthers(GossipActions& aActions);
  void TryLostAddress(GossipActions& aActions);
  void Resynchronise(Instant aNow, GossipActions& aActions);
  void ExpireSuspects(Instant aNow, GossipActions& aActions);
  void RecoverFromPause(Instant aNow, GossipActions& aActions);

  // Messages.
  void Handle(const GossipMessage& aMessage,
              Instant aNow,
              GossipActions& aActions);
  void HandlePing(const GossipMessage& aMessage, GossipActions& aActions);
  void HandleAck(const GossipMessage& aMessage, GossipActions& aActions);
  void HandlePingRequest(const GossipMessage& aMessage,
                         Instant aNow,
                         GossipActions& aActions);
  void ReplySync(const Endpoint& aTo, GossipActions& aActions);
  void MeetSender(const MemberRecord& aSender,
                  Instant aNow,
                  GossipActions& aActions);
  void Refute(const MemberRecord& aRecord);

  // News.
  void Learn(const MemberRecord& aRecord,
             bool aPassOn,
             Instant aNow,
             GossipActions& aActions);
  void Learn(const SharedNumber& aNumber,
             bool aPassOn,
             GossipActions* aActions);

  // Sending.
  [[nodiscard]] GossipMessage Compose(GossipKind aKind,
                                      std::uint64_t aSequence);
  void AddOldNews(GossipMessage& aMessage);
  void Send(const Endpoint& aTo,
            GossipMessage aMessage,
            GossipActions& aActions);

  GossipSettings mSettings;
  Random mRandom;
  MemberRecord mSelf;
  MemberTable mTable;
  ChangeQueue mChanges;
  std::map<std::string, std::uint64_t, std::less<>> mNumbers;
  std::vector<Endpoint> mListed;
  std::vector<DaemonId> mOrder;
  std::optional<Probe> mProbe;
  std::vector<Relay> mRelays;
  std::uint64_t mSequence = 0;
  std::uint64_t mPeriods = 0;
  std::optional<Instant> mStartedAt;
  Instant mLastTick;
  Instant mNextPeriod;
  Instant mNextSync;
  Duration mSyncPause{};
  std::size_t mListedIndex = 0;
  DaemonId mLastOldMember;
  std::string mLastOldNumber;
};

} // namespace bilberrytrail
