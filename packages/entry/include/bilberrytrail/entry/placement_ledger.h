#pragma once

#include <bilberrytrail/entry/admission.h>
#include <bilberrytrail/entry/placement.h>
#include <bilberrytrail/entry/rank_admission.h>
#include <bilberrytrail/entry/return_places.h>

#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace bilberrytrail {

// The work at the servers of a home's groups: every request that the home
// granted, until its end is reported or the grant expires. It serves any group
// that it receives a request for: while two daemons take themselves for the
// home of one group, placement is less even, but stays correct. Not
// thread-safe.
//
//   const auto reply = ledger.HandleRequest(client, request, now);
//   ...
//   ledger.Report(client, { reply.mTicket, SendOutcome::Answered }, now);
class PlacementLedger
{
public:
  // aLimits holds the rate limits of the servers, and must outlive the ledger,
  // as must aColds, which may be null.
  PlacementLedger(ZoneId aOwnZone,
                  const AdmissionSettings& aSettings,
                  const ServerLimits& aLimits,
                  ColdServers* aColds = nullptr);
  ~PlacementLedger();
  PlacementLedger(const PlacementLedger&) = delete;
  PlacementLedger& operator=(const PlacementLedger&) = delete;

  // Returns the number of grants that have neither ended nor expired.
  [[nodiscard]] std::size_t Grants() const noexcept { return mGrants.size(); }

  // Replaces the list of servers.
  void SetServers(std::span<const ServerRecord> aServers, Instant aNow);
  // Sets which servers are loading weights.
  void SetLoading(const std::set<ServerId>& aServers, Instant aNow);
  // Grants a server to the request, or returns Busy when no server of its group
  // would answer in time, Limited, or NoServer. A repeated request with the
  // same ticket replaces the earlier grant. aLimitShare is the share of the
  // servers' rate limits that this home may use for the group, from 0 to 1.
  [[nodiscard]] PlacementReply HandleRequest(const PlacementClientId& aClient,
                                             const PlacementRequest& aRequest,
                                             Instant aNow,
                                             double aLimitShare = 1);
  // Applies a report on a grant; reports on unknown grants are ignored.
  void Report(const PlacementClientId& aClient,
              const PlacementReport& aReport,
              Instant aNow);

private:
  using GrantId = std::pair<DaemonId, std::uint64_t>;
  struct Grant;
  // The servers of a group, and who is let in to them.
  struct Group
  {
    std::unique_ptr<ServerPool> mPool;
    RankAdmission mAdmission;
    ReturnPlaces mReturns;
  };

  [[nodiscard]] Group& GroupOf(const PlacementGroup& aGroup, Instant aNow);
  // Returns whether a prompt is let in, and counts it.
  [[nodiscard]] bool Admits(Group& aGroup,
                            const PlacementRequest& aRequest,
                            const ChosenServer& aChoice,
                            Instant aNow);
  // Ends the grants of other incarnations of the client's daemon.
  void DropOtherIncarnations(const PlacementClientId& aClient, Instant aNow);
  void Expire(Instant aNow);
  void End(const GrantId& aId, SendOutcome aOutcome, Instant aNow);
  void RecordWeightMismatch(const Grant& aGrant,
                            SendOutcome aOutcome,
                            Instant aNow);

  const ZoneId mOwnZone;
  const AdmissionSettings mSettings;
  // Shared by all pools: while the number of groups changes, a server is in the
  // pools of two groups.
  RateGate mGate;
  std::vector<ServerRecord> mServers;
  std::map<PlacementGroup, Group> mGroups;
  std::map<GrantId, Grant> mGrants;
  std::set<std::pair<Instant, GrantId>> mExpiries;
  std::map<DaemonId, std::uint64_t> mIncarnations;
};

} // namespace bilberrytrail
