#pragma once

#include <bilberrytrail/entry/cold_servers.h>
#include <bilberrytrail/entry/server_limits.h>

#include <map>
#include <optional>

namespace bilberrytrail {

// Paces the requests of one sender to servers that name a rate limit: at most
// the sender's share of the limit, evenly spaced except for short bursts. Cold
// servers are paced alike, without bursts and by parts of their bound: half of
// it for a whole share, so that what stand-ins and daemons without a home send
// at the same time fits into the rest.
//
// Senders that split a share evenly and don't see each other's requests could
// all send at the same moment after a pause. Each of them therefore sends in
// short slots only, once per request that its part allows, and slots that pass
// unused are lost. The slots of the senders are spread by their random phases.
// Not thread-safe.
//
//   RateGate gate(limits);
//   gate.SetShare(0.25);
//   if (gate.WaitFor(server, now) == Duration(0)) {
//     gate.Take(server, now);
//   }
class RateGate
{
public:
  // Length of a slot of a sender that uses a part of a share.
  static constexpr Duration kSlotTime = 1s;

  // aColds may be null.
  explicit RateGate(const ServerLimits& aLimits, ColdServers* aColds = nullptr)
    : mLimits(aLimits)
    , mColds(aColds)
  {
  }

  // Returns the time until the server takes a request from this sender; 0 for a
  // server without a limit, and nothing when the sender has no share.
  [[nodiscard]] std::optional<Duration> WaitFor(const ServerId& aServer,
                                                Instant aNow) const;
  // Returns whether the server takes a request now.
  [[nodiscard]] bool IsOpen(const ServerId& aServer, Instant aNow) const;

  // Sets the share of a limit that this sender may use alone, from 0 to 1.
  void SetShare(double aShare) noexcept
  {
    mShare = aShare;
    mPhase.reset();
  }
  // Sets the share of a limit that aSenders use together, each an even part.
  // aPhase, from 0 to 1, places the slots of this sender; 0 senders have no
  // share.
  void SetSplitShare(double aShare,
                     std::size_t aSenders,
                     double aPhase) noexcept;
  // Records what an answer, or the lack of one, says about the server's start.
  void NoteAnswer(const ServerId& aServer, Instant aNow);
  void NoteLost(const ServerId& aServer, bool aIsRefused, Instant aNow);
  // Records that a request is sent to the server.
  void Take(const ServerId& aServer, Instant aNow);
  // Returns the Retry-After for a caller whose request the server does not take
  // now. Each caller gets a later time, at the rate at which the server takes
  // requests.
  [[nodiscard]] Duration PromiseReturn(const ServerId& aServer, Instant aNow);

private:
  struct Schedule
  {
    // When the next request is due.
    Instant mNextAt;
    // Latest time at which a refused caller was told to return.
    Instant mPromisedAt;
  };

  // The limit that counts for a server.
  struct Pace
  {
    // Requests per second of this sender; 0 for none.
    double mPerSecond = 0;
    // Requests per second that the server takes from all senders.
    double mOfAll = 0;
    Instant mSince;
    // Time by which a request may be ahead of its even spacing.
    Duration mBurst{};
  };

  // Returns nothing for a server without a limit; the lower one of two limits.
  [[nodiscard]] std::optional<Pace> PaceOf(const ServerId& aServer,
                                           Instant aNow) const;
  // Returns the schedule of a server with a limit. When it is a new one, drops
  // those of servers that have none any more.
  [[nodiscard]] Schedule& ScheduleOf(const ServerId& aServer, Instant aNow);
  [[nodiscard]] Instant NextAt(const ServerId& aServer,
                               const Pace& aPace) const;
  // Returns the first time from aFrom on that is in a slot of this sender.
  [[nodiscard]] Instant InSlot(Instant aFrom, Duration aInterval) const;

  const ServerLimits& mLimits;
  ColdServers* const mColds;
  double mShare = 1;
  // Set when the sender uses a part of a share.
  std::optional<double> mPhase;
  std::map<ServerId, Schedule> mSchedules;
};

} // namespace bilberrytrail
