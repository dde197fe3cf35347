#pragma once

#include <bilberrytrail/entry/admission.h>
#include <bilberrytrail/entry/placement.h>

#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace bilberrytrail {

// What a home knows of the work at its groups' servers: every request that it
// granted, until its end is told or its time is over. It serves whichever
// group it is asked for. Two homes of one group for a moment place less well
// and break nothing. Not thread-safe.
//
//   const auto reply = book.Ask(client, ask, now);
//   ...
//   book.Tell(client, { reply.mTicket, SendOutcome::Answered }, now);
class PlacementLedger
{
public:
  PlacementLedger(ZoneId aOwnZone, const AdmissionSettings& aSettings);
  ~PlacementLedger();
  PlacementLedger(const PlacementLedger&) = delete;
  PlacementLedger& operator=(const PlacementLedger&) = delete;

  // Returns the number of grants whose end is not told.
  [[nodiscard]] std::size_t Grants() const noexcept { return mGrants.size(); }

  // Takes in the list of servers.
  void SetServers(std::span<const ServerRecord> aServers, Instant aNow);
  // Takes in which servers load weights.
  void SetLoading(const std::set<ServerId>& aServers, Instant aNow);
  // Places a request or says that its group is behind.
  [[nodiscard]] PlacementReply Ask(const PlacementClientId& aClient,
                                   const PlacementRequest& aAsk,
                                   Instant aNow);
  // Takes in what became of a grant; one that is not known any more is
  // nothing.
  void Tell(const PlacementClientId& aClient,
            const PlacementReport& aTell,
            Instant aNow);

private:
  using GrantId = std::pair<DaemonId, std::uint64_t>;
  struct Grant;

  [[nodiscard]] ServerPool& PoolOf(const PlacementGroup& aGroup, Instant aNow);
  // Drops the grants of the other processes of a daemon.
  void DropEarlier(const PlacementClientId& aClient, Instant aNow);
  void Expire(Instant aNow);
  void End(const GrantId& aId, SendOutcome aEnd, Instant aNow);
  void NoteDenied(const Grant& aGrant, SendOutcome aEnd, Instant aNow);

  const ZoneId mOwnZone;
  const AdmissionSettings mSettings;
  std::vector<ServerRecord> mServers;
  std::map<PlacementGroup, std::unique_ptr<ServerPool>> mPools;
  std::map<GrantId, Grant> mGrants;
  std::set<std::pair<Instant, GrantId>> mExpiries;
  std::map<DaemonId, std::uint64_t> mIncarnations;
};

} // namespace bilberrytrail
