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

// Times and bounds of the failure detector.
struct GossipSettings
{
  // One member is pinged in each period.
  Duration mPeriod = 500ms;
  // After this time without an answer other members are asked to ping.
  Duration mPingTimeout = 150ms;
  std::size_t mIndirectPings = 3;
  // A suspect is dead after this number of periods times the decimal
  // logarithm of the number of members (at least 1).
  double mSuspicionPeriods = 4;
  // A change is sent this number of times the binary logarithm of the number
  // of members.
  std::size_t mRetransmitFactor = 2;
  // Bytes of changes that one message carries at most.
  std::size_t mChangeBytes = 700;
  // Every so many periods one listed or dead address is tried again.
  std::size_t mProbePeriods = 4;
  // Dead and left members are forgotten after this time.
  Duration mForgetAfter = 600s;
  // A gap between two ticks longer than this means that this process was
  // paused; nobody is suspected for what happened meanwhile.
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

// A shared number grew.
struct NumberChanged
{
  SharedNumber mNumber;
};

using GossipAction = std::variant<SendGossip, MemberChanged, NumberChanged>;
using GossipActions = std::vector<GossipAction>;

// Returns the time within which all members know of a death, by design: some
// periods until a ping fails, the suspicion, and the spreading of the news.
[[nodiscard]] Duration
DeathDetectionBound(const GossipSettings& aSettings, std::size_t aMembers);

// Membership of the daemons by SWIM: each period one peer is pinged, others
// ping in its place before it is suspected, and a suspect that does not
// refute within a time is dead. Changes and shared numbers ride on these
// messages within a bound of bytes, so that the cost of a daemon does not grow
// with their number.
//
//   Gossip gossip(self, settings, seed);
//   gossip.SetListedEndpoints(addressesOfThePlatformsList);
//   for (const auto& it : gossip.Tick(now)) { ... }
//   for (const auto& it : gossip.Receive(message, now)) { ... }
class Gossip
{
public:
  // The record's id must be new at each start of the process.
  Gossip(MemberRecord aSelf, GossipSettings aSettings, std::uint64_t aSeed);
  ~Gossip();
  Gossip(Gossip&&) noexcept;
  Gossip& operator=(Gossip&&) noexcept;

  // This daemon's own record with its present incarnation.
  [[nodiscard]] const MemberRecord& Self() const noexcept;
  // The members that are alive or suspect, this daemon included, by id.
  [[nodiscard]] std::vector<MemberRecord> LiveMembers() const;
  // The number of these.
  [[nodiscard]] std::size_t LiveCount() const noexcept;
  // The value of a shared number, 0 when unknown.
  [[nodiscard]] std::uint64_t NumberOf(std::string_view aName) const;
  // All shared numbers known.
  [[nodiscard]] std::vector<SharedNumber> Numbers() const;
  // When Tick is due next.
  [[nodiscard]] Instant NextTick() const noexcept;

  // Names the addresses of the platform's list. They are tried until they
  // answer; being listed makes nobody a member, being absent removes nobody.
  void SetListedEndpoints(std::vector<Endpoint> aListed);
  // Raises a shared number; a lower value is ignored.
  void RaiseNumber(std::string_view aName, std::uint64_t aValue);
  // Runs the timers. Calling early does nothing.
  [[nodiscard]] GossipActions Tick(Instant aNow);
  // Takes a message in.
  [[nodiscard]] GossipActions Receive(const GossipMessage& aMessage,
                                      Instant aNow);
  // Announces a planned stop. Afterwards nobody is pinged, pings are answered.
  [[nodiscard]] GossipActions Leave(Instant aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
