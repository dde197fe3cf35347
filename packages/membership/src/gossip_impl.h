#pragma once

#include "change_queue.h"
#include "member_table.h"

#include <bilberrytrail/membership/gossip.h>

#include <map>
#include <optional>
#include <string>

namespace bilberrytrail {

// State and protocol steps of Gossip.
struct Gossip::Impl
{
  // The ping of the current period.
  struct Probe
  {
    MemberRecord mTarget;
    std::uint64_t mSequence = 0;
    Instant mSentAt;
    bool mIndirectPingsRequested = false;
  };

  // A ping sent on behalf of another member.
  struct Relay
  {
    std::uint64_t mSequence = 0;
    Endpoint mRequester;
    std::uint64_t mRequesterSequence = 0;
    Instant mSentAt;
  };

  Impl(MemberRecord aSelf, GossipSettings aSettings, std::uint64_t aSeed);

  [[nodiscard]] std::size_t MemberCount() const;
  [[nodiscard]] Duration SuspicionTimeout() const;

  // Timers.
  void StartPeriod(Instant aNow, GossipActions& aActions);
  void PingNext(Instant aNow, GossipActions& aActions);
  void RequestIndirectPings(GossipActions& aActions);
  void PingUnreachableAddress(GossipActions& aActions);
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
  void ApplySender(const MemberRecord& aSender,
                   Instant aNow,
                   GossipActions& aActions);
  void Refute(const MemberRecord& aRecord);

  // Changes. With aDisseminate they are also queued for other members.
  void ApplyChange(const MemberRecord& aRecord,
                   bool aDisseminate,
                   Instant aNow,
                   GossipActions& aActions);
  void ApplyChange(const SharedNumber& aNumber,
                   bool aDisseminate,
                   GossipActions* aActions);

  // Sending.
  [[nodiscard]] GossipMessage Compose(GossipKind aKind,
                                      std::uint64_t aSequence);
  void AddRepeatedState(GossipMessage& aMessage);
  void Send(const Endpoint& aTo,
            GossipMessage aMessage,
            GossipActions& aActions);

  GossipSettings mSettings;
  Random mRandom;
  MemberRecord mSelf;
  MemberTable mTable;
  ChangeQueue mChanges;
  std::map<std::string, std::uint64_t, std::less<>> mNumbers;
  std::vector<Endpoint> mListedEndpoints;
  std::vector<DaemonId> mPingOrder;
  std::optional<Probe> mProbe;
  std::vector<Relay> mRelays;
  std::uint64_t mSequence = 0;
  std::uint64_t mPeriods = 0;
  std::optional<Instant> mStartedAt;
  Instant mLastTick;
  Instant mNextPeriod;
  Instant mNextSync;
  Duration mSyncBackoff{};
  std::size_t mListedIndex = 0;
  DaemonId mLastRepeatedMember;
  std::string mLastRepeatedNumber;
};

} // namespace bilberrytrail
