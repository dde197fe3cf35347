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
// not at all. Not thread-safe.
//
//   avoided.AddLeaving(server, startedAtMs, now);
//   if (!avoided.Contains(server)) { ... }
class AvoidedServers
{
public:
  [[nodiscard]] bool Contains(const ServerId& aServer) const;
  // Returns the servers to avoid, at most aMost of them.
  [[nodiscard]] std::vector<ServerId> Some(std::size_t aMost) const;

  // Records that a server is leaving; this holds until it restarts.
  // aStartedAtMs is the start of its incarnation, empty when it is not listed.
  void AddLeaving(const ServerId& aServer,
                  std::optional<std::uint64_t> aStartedAtMs,
                  Instant aNow);
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
  };

  std::map<ServerId, Entry> mEntries;
};

} // namespace bilberrytrail
