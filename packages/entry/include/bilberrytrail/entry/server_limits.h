#pragma once

#include <bilberrytrail/entry/server_record.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bilberrytrail {

// What the last answer of a server said about its request rate limit.
struct LimitObservation
{
  ServerId mServer;
  // Requests per second from all daemons together; 0 when the server no longer
  // names a limit.
  double mPerSecond = 0;
  // The latest time at which the server may have named the limit, and the
  // earliest at which it no longer did.
  Instant mAt;
};

// A limit in force.
struct ServerLimit
{
  double mPerSecond = 0;
  // When this daemon learned that the server names a limit.
  Instant mSince;
};

// The request rate limits that backend servers name in their answers, as this
// daemon and those that it exchanges observations with saw them. The newest
// observation of a server counts. Not thread-safe.
//
//   limits.Observe(server, answer.RequestLimit(), sentAt, now);
//   if (const auto* limit = limits.Find(server)) { ... }
class ServerLimits
{
public:
  // Bounds the size of the messages that carry observations. What is left out
  // is older, and is observed again with the server's next answer.
  static constexpr std::size_t kMaxRecent = 32;

  // Returns the limit of a server; null while it names none.
  [[nodiscard]] const ServerLimit* Find(const ServerId& aServer) const;
  // Returns the observations that other daemons need, newest first and at most
  // kMaxRecent: limits in force, and limits that ended recently.
  [[nodiscard]] std::vector<LimitObservation> Recent(Instant aNow) const;

  // Records an answer to a request sent at aSentAt. An answer that names no
  // limit ends the limit only if its request was sent after the limit was last
  // named: answers overtake each other.
  void Observe(const ServerId& aServer,
               std::optional<double> aPerSecond,
               Instant aSentAt,
               Instant aNow);
  // Adds observations of other daemons.
  void Merge(std::span<const LimitObservation> aObservations, Instant aNow);
  // Forgets the servers that have restarted, and those that have not been
  // listed or heard from for long: a server may be missing from the list while
  // it still serves.
  void Retain(std::span<const ServerRecord> aServers, Instant aNow);

private:
  struct Entry
  {
    LimitObservation mLast;
    ServerLimit mLimit;
    // Start of the incarnation that named the limit; empty until listed.
    std::optional<std::uint64_t> mStartedAtMs;
  };

  void Apply(const LimitObservation& aObservation, Instant aNow);

  std::map<ServerId, Entry> mEntries;
};

} // namespace bilberrytrail
