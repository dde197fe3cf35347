#pragma once

#include "placement_codec.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/entry/placement_ledger.h>
#include <bilberrytrail/entry/placement_map.h>
#include <bilberrytrail/runtime/datagram.h>
#include <bilberrytrail/runtime/loop.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace bilberrytrail {

// Exchanges placement requests and reports between daemons by datagrams, on the
// traffic thread. It sends this daemon's requests to the homes, and answers
// requests for the groups that other daemons take this one to be the home of. A
// home that does not answer in time is skipped for a back-off time, and the
// next home of the group is tried.
class PlacementService final : public Placer
{
public:
  PlacementService(Loop& aLoop,
                   ZoneId aOwnZone,
                   DaemonId aSelf,
                   std::uint64_t aIncarnation,
                   ServerLimits& aLimits,
                   ColdServers& aColds,
                   PartQuarantine& aParts,
                   PartQuarantine& aRequests);

  // Binds the socket and starts to receive.
  Result<void> Start(const Endpoint& aEndpoint);
  // Replaces the map of groups and homes.
  void SetMap(std::shared_ptr<const PlacementMap> aMap);
  // Replaces the newest rows of the site's tables that other daemons are told
  // of.
  void SetNewestRows(const TableVersions& aVersions) noexcept
  {
    mNewestRows = aVersions;
  }
  // Calls the function on the loop's thread when another daemon tells of a
  // newer row of a table, once for each such row.
  void OnNewerRow(std::function<void(SiteTable, TableVersion)> aCallback)
  {
    mOnNewerRow = std::move(aCallback);
  }
  // Records when the list of daemons in the map was last read.
  void SetListReadAt(Instant aTime) noexcept { mListReadAt = aTime; }
  // Returns the ledger of this daemon's grants as a home; the owner feeds it
  // the lists of servers.
  [[nodiscard]] PlacementLedger& Ledger() noexcept { return mLedger; }

  [[nodiscard]] std::optional<PlacementReply> Place(const ServerQuery& aQuery,
                                                    std::uint64_t aSpread,
                                                    Duration aTimeLeft,
                                                    bool aMustPlace) override;
  void OnBegun(std::uint64_t aTicket) override;
  void OnEnd(std::uint64_t aTicket, SendOutcome aOutcome) override;

private:
  // A placement request that waits for its reply.
  struct Pending
  {
    Event* mArrived = nullptr;
    std::optional<PlacementReply> mReply;
  };
  struct BackOff
  {
    Duration mTime{};
    Instant mEndsAt;
  };

  // Sends the request to the homes of its group, one after the other.
  [[nodiscard]] std::optional<PlacementReply> PlaceInGroup(
    PlacementRequest aRequest);
  [[nodiscard]] std::optional<PlacementReply> RequestFromHome(
    const PlacementCandidate& aHome,
    const PlacementRequest& aRequest);
  // Returns the share of the servers' rate limits that this daemon may use as a
  // home of the group. The time is on the boot clock, since lists and homes
  // change while this VM is suspended, too.
  [[nodiscard]] double LimitShareFor(const PlacementGroup& aGroup,
                                     Instant aNow) const;
  [[nodiscard]] PlacementReply HandleRequest(const PlacementClientId& aClient,
                                             const PlacementRequest& aRequest);
  // Returns the observations of rate limits to send to other daemons.
  [[nodiscard]] std::vector<LimitReport> LimitReports() const;
  void MergeLimits(const std::vector<LimitReport>& aReports);
  // The same for the servers that are cold.
  [[nodiscard]] std::vector<ColdReport> ColdReports() const;
  void MergeColds(const std::vector<ColdReport>& aReports);
  // Returns a message without a request, with all that other daemons are told.
  [[nodiscard]] PlacementMessage MakeMessage() const;
  // Returns whether there is evidence that other daemons need.
  [[nodiscard]] bool HasEvidence() const;
  // Sends evidence against parts and requests, while there is any, to daemons
  // picked at random: a daemon that is the home of all its requests learns it
  // from nobody else. A message without any is a query, as a daemon sends after
  // its start.
  void ExchangeEvidence();
  void SendEvidence(const Endpoint& aDaemon);
  void SendEvidenceToRandom(std::size_t aDaemons);
  [[nodiscard]] std::vector<PlacementReport> TakeReports(const DaemonId& aHome);
  [[nodiscard]] bool IsBackedOff(const DaemonId& aHome) const;
  void OnReplyTimeout(const DaemonId& aHome);
  void Report(std::uint64_t aTicket, std::optional<SendOutcome> aOutcome);
  void FlushReports();
  void Receive();
  void OnMessage(const Datagram& aDatagram);
  void OnReply(const Datagram& aDatagram);
  // Reports the rows of another daemon that are newer than this one's.
  void CompareRows(const TableVersions& aVersions);

  Loop& mLoop;
  const PlacementClientId mSelf;
  DatagramSocket mSocket;
  ServerLimits& mLimits;
  ColdServers& mColds;
  PartQuarantine& mParts;
  PartQuarantine& mRequests;
  PlacementLedger mLedger;
  std::shared_ptr<const PlacementMap> mMap;
  Instant mListReadAt;
  // Since when this daemon has been the first home of each group.
  std::map<PlacementGroup, Instant> mFirstHomeSince;
  std::map<std::uint64_t, Pending> mPending;
  // Home of each grant whose end was not reported yet, by ticket.
  std::map<std::uint64_t, PlacementCandidate> mGrants;
  // Reports that wait to be sent, by home.
  std::map<DaemonId, std::pair<Endpoint, std::vector<PlacementReport>>>
    mReports;
  bool mIsFlushing = false;
  std::map<DaemonId, BackOff> mBackOffs;
  std::uint64_t mLastTicket = 0;
  TableVersions mNewestRows;
  // The newest rows that others have told of.
  TableVersions mHeardOf;
  std::function<void(SiteTable, TableVersion)> mOnNewerRow;
  Random mRandom;
};

} // namespace bilberrytrail
