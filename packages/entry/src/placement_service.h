#pragma once

#include "placement_codec.h"

#include <bilberrytrail/entry/placement_ledger.h>
#include <bilberrytrail/entry/placement_map.h>
#include <bilberrytrail/runtime/datagram.h>
#include <bilberrytrail/runtime/loop.h>

#include <map>
#include <memory>
#include <set>

namespace bilberrytrail {

// Carries questions and news of grants between daemons by datagrams, on the
// traffic thread: asks the homes for this daemon's requests, and answers for
// the groups that others take it to be home to. A home that does not answer
// in time is left alone for a while, and the next one of the group is asked.
class PlacementService final : public Placer
{
public:
  PlacementService(Loop& aLoop,
                   ZoneId aOwnZone,
                   DaemonId aSelf,
                   std::uint64_t aIncarnation);

  // Binds the socket and starts to receive.
  Result<void> Start(const Endpoint& aEndpoint);
  // Takes in which daemons are homes.
  void SetMap(std::shared_ptr<const PlacementMap> aMap);
  // The home's book, which takes in the lists of servers.
  [[nodiscard]] PlacementLedger& Ledger() noexcept { return mBook; }

  [[nodiscard]] std::optional<PlacementReply> Place(const ServerQuery& aQuery,
                                                    std::uint64_t aSpread,
                                                    Duration aTimeLeft,
                                                    bool aMustPlace) override;
  void OnBegun(std::uint64_t aTicket) override;
  void OnEnd(std::uint64_t aTicket, SendOutcome aEnd) override;

private:
  // A question that waits for its reply.
  struct Pending
  {
    Event* mArrived = nullptr;
    std::optional<PlacementReply> mReply;
  };
  struct Rest
  {
    Duration mTime{};
    Instant mUntil;
  };

  // Asks the homes of one group in order.
  [[nodiscard]] std::optional<PlacementReply> AskGroup(PlacementRequest aAsk);
  [[nodiscard]] std::optional<PlacementReply> AskHome(
    const PlacementCandidate& aHome,
    const PlacementRequest& aAsk);
  [[nodiscard]] std::vector<PlacementReport> TakeTells(const DaemonId& aHome);
  [[nodiscard]] bool IsResting(const DaemonId& aHome) const;
  void OnSilent(const DaemonId& aHome);
  void Tell(std::uint64_t aTicket, std::optional<SendOutcome> aEnd);
  void FlushTells();
  void Receive();
  void OnMessage(const Datagram& aDatagram);
  void OnReply(const Datagram& aDatagram);

  Loop& mLoop;
  const PlacementClientId mSelf;
  DatagramSocket mSocket;
  PlacementLedger mBook;
  std::shared_ptr<const PlacementMap> mMap;
  std::map<std::uint64_t, Pending> mPending;
  // The home of each grant whose end is not told.
  std::map<std::uint64_t, PlacementCandidate> mGrants;
  // News that wait to be sent, by home.
  std::map<DaemonId, std::pair<Endpoint, std::vector<PlacementReport>>> mTells;
  bool mIsFlushing = false;
  std::map<DaemonId, Rest> mRests;
  std::uint64_t mLastTicket = 0;
};

} // namespace bilberrytrail
