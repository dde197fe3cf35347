#pragma once

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/membership/gossip_message.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Timeouts and limits of the failure detector.
struct GossipSettings
{
  // One member is pinged in each period.
  Duration mPeriod = 500ms;
  // Time without an answer after which other members are asked to ping the
  // target.
  Duration mPingTimeout = 150ms;
  // Number of members that are asked.
  std::size_t mIndirectPings = 3;
  // A suspect is declared dead after this number of periods times the decimal
  // logarithm of the number of members (at least 1).
  double mSuspicionPeriods = 4;
  // Each change is sent as many times as this factor times the binary logarithm
  // of the number of members.
  std::size_t mRetransmitFactor = 2;
  // Maximum bytes of changes in one message.
  std::size_t mChangeBytes = 700;
  // Number of periods after which one listed or dead address without a live
  // member is pinged again.
  std::size_t mProbePeriods = 4;
  // Time for which the records of dead and left members are kept.
  Duration mForgetAfter = 600s;
  // A longer time between two ticks means that this process was paused; no
  // member is suspected for answers missed meanwhile.
  Duration mPauseThreshold = 1500ms;
};

// Sends a message to another daemon; it may be lost.
struct SendGossip
{
  Endpoint mTo;
  GossipMessage mMessage;
};

// A member appeared or its status changed.
struct MemberChanged
{
  MemberRecord mRecord;
};

// A shared number increased.
struct NumberChanged
{
  SharedNumber mNumber;
};

using GossipAction = std::variant<SendGossip, MemberChanged, NumberChanged>;
using GossipActions = std::vector<GossipAction>;

// Returns the time within which all members should know of a death: the periods
// until a ping fails, the suspicion timeout and the dissemination.
[[nodiscard]] Duration
DeathDetectionBound(const GossipSettings& aSettings, std::size_t aMembers);

// Membership of the daemons by the SWIM protocol. In each period one peer is
// pinged. If it does not answer, other members ping it before it becomes a
// suspect, and a suspect that does not refute in time is declared dead. Changes
// and shared numbers are piggybacked on these messages up to a limit of bytes,
// so that the traffic of a daemon does not grow with the number of members.
//
//   Gossip gossip(self, settings, seed);
//   gossip.SetListedEndpoints(addressesOfThePlatformsList);
//   for (const auto& it : gossip.Tick(now)) { ... }
//   for (const auto& it : gossip.Receive(message, now)) { ... }
class Gossip
{
public:
  // aSelf.mId must be different at each start of the process.
  Gossip(MemberRecord aSelf, GossipSettings aSettings, std::uint64_t aSeed);
  ~Gossip();
  Gossip(Gossip&&) noexcept;
  Gossip& operator=(Gossip&&) noexcept;

  // This daemon's own record with its current incarnation.
  [[nodiscard]] const MemberRecord& Self() const noexcept;
  // The members that are alive or suspect, this daemon included, by id.
  [[nodiscard]] std::vector<MemberRecord> LiveMembers() const;
  // The number of records that LiveMembers() returns.
  [[nodiscard]] std::size_t LiveCount() const noexcept;
  // The value of a shared number, 0 when unknown.
  [[nodiscard]] std::uint64_t NumberOf(std::string_view aName) const;
  // All shared numbers known.
  [[nodiscard]] std::vector<SharedNumber> Numbers() const;
  // When Tick is due next.
  [[nodiscard]] Instant NextTick() const noexcept;

  // Sets the addresses of the platform's list. Those without a live member are
  // pinged until they answer; the list itself neither adds nor removes members.
  void SetListedEndpoints(std::vector<Endpoint> aListed);
  // Raises a shared number; a value that is not higher is ignored.
  void RaiseNumber(std::string_view aName, std::uint64_t aValue);
  // Runs the timers that are due; does nothing before NextTick().
  [[nodiscard]] GossipActions Tick(Instant aNow);
  // Handles a received message.
  [[nodiscard]] GossipActions Receive(const GossipMessage& aMessage,
                                      Instant aNow);
  // Announces the planned departure of this daemon. Afterwards it sends no
  // pings of its own but still answers pings.
  [[nodiscard]] GossipActions Leave(Instant aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
