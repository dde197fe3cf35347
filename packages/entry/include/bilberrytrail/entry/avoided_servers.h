#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/entry/server_record.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bilberrytrail {

// The backend servers that this daemon sends no requests to since their answers
// said so: those that are leaving, which the list of servers may show later or
// not at all, and those that asked for a pause. Not thread-safe.
//
//   avoided.AddPause(server, startedAtMs, 2s, now);
//   if (!avoided.Contains(server, now)) { ... }
class AvoidedServers
{
public:
  [[nodiscard]] bool Contains(const ServerId& aServer, Instant aNow) const;
  // Returns the servers to avoid, at most aMost of them.
  [[nodiscard]] std::vector<ServerId> Some(std::size_t aMost,
                                           Instant aNow) const;
  // Returns the time until the first of a service's servers that pause may be
  // used; nothing when one that is not avoided is listed, or none pauses.
  [[nodiscard]] std::optional<Duration> TimeUntilAny(
    std::span<const ServerRecord> aServers,
    const ServiceId& aService,
    Instant aNow) const;

  // Records that a server is leaving; this holds until it restarts.
  // aStartedAtMs is its listed start, empty when it is not listed. A server may
  // answer before its row names its new start: that is told by aUnixMs, the
  // time of day, 0 if that is not known.
  void AddLeaving(const ServerId& aServer,
                  std::optional<std::uint64_t> aStartedAtMs,
                  Instant aNow,
                  std::uint64_t aUnixMs = 0);
  // Records that a server wants no requests for a time; this ends early when it
  // restarts. The latest end counts: a shorter pause that it names later, maybe
  // in an answer that was overtaken, does not take back a longer one.
  void AddPause(const ServerId& aServer,
                std::optional<std::uint64_t> aStartedAtMs,
                Duration aTime,
                Instant aNow,
                std::uint64_t aUnixMs = 0);
  // Forgets the servers that have restarted, and those that have not been
  // listed or heard from for long: a server may be missing from the list while
  // it still serves.
  void Retain(std::span<const ServerRecord> aServers, Instant aNow);

private:
  struct Entry
  {
    // Start of the incarnation that answered; empty until listed.
    std::optional<std::uint64_t> mStartedAtMs;
    // When the server was last listed or heard from.
    Instant mSeenAt;
    bool mIsLeaving = false;
    Instant mPausedUntil;
    // Time of day at which the server said first that it is leaving, and last
    // that it pauses.
    std::uint64_t mLeavingSinceMs = 0;
    std::uint64_t mPausedAtMs = 0;

    // Drops what a start other than the listed one has said.
    void OnListed(std::uint64_t aStartedAtMs, Instant aNow);

    [[nodiscard]] bool IsAvoided(Instant aNow) const noexcept
    {
      return mIsLeaving || aNow < mPausedUntil;
    }
  };

  Entry& EntryOf(const ServerId& aServer,
                 std::optional<std::uint64_t> aStartedAtMs,
                 Instant aNow);

  std::map<ServerId, Entry> mEntries;
};

} // namespace bilberrytrail
