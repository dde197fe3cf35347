#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/runtime/loop.h>

#include <optional>
#include <vector>

namespace bilberrytrail {

// Another daemon of the site.
struct PeerAddress
{
  DaemonId mName;
  Endpoint mEndpoint;
  // Empty if its row has none.
  ZoneId mZone;
  // Link speed of its VM in megabits per second; 0 if its row has none.
  double mLinkMbps = 0;
  // Where it answers queries for cache changes; nothing if its row has none.
  std::optional<Endpoint> mBulk;
};

// Formats a daemon's row.
[[nodiscard]] std::string
ToRowText(const PeerAddress& aPeer);
// Parses a daemon's row; fails with InvalidInput.
[[nodiscard]] Result<PeerAddress>
ReadPeerRow(const DaemonId& aName, const std::string& aText);

// The daemons of the site. Each writes a row at its start, and again when the
// table service has come back from a copy without it. Rows of stopped daemons
// stay: a call to one of these fails, and the caller tries another daemon.
class PeerDirectory
{
public:
  PeerDirectory(Loop& aLoop,
                TableService& aTable,
                PeerAddress aSelf,
                std::uint64_t aSeed);

  // Returns all known daemons, this one included.
  [[nodiscard]] const std::vector<PeerAddress>& All() const noexcept
  {
    return mPeers;
  }
  // Returns whether the rows have been read at least once.
  [[nodiscard]] bool IsComplete() const noexcept { return mReadAt.has_value(); }
  // Returns when the last successful read of the rows began, on the boot clock.
  [[nodiscard]] std::optional<Instant> ReadAt() const noexcept
  {
    return mReadAt;
  }
  // Returns this daemon's rank among all daemons for a key by rendezvous
  // hashing; 0 is the first.
  [[nodiscard]] std::size_t RankFor(std::string_view aKey) const;
  // Returns up to aLimit other daemons in random order.
  [[nodiscard]] std::vector<PeerAddress> PickOthers(std::size_t aLimit);

  // Tells the era of the table service. In a later one the rows known so far
  // stay until all daemons have had time to write theirs again.
  void SetEra(std::uint64_t aEra);
  // Sets where this daemon answers queries for cache changes. Called before it
  // registers.
  void SetBulk(Endpoint aBulk) { mSelf.mBulk = std::move(aBulk); }
  // Registers this daemon, then reads the other rows until the loop stops.
  void Run();

private:
  // Registers this daemon in the newest era and waits for the others to do so.
  void RegisterAll();
  bool Register();
  // Reads the other daemons' rows, unless some may be missing in a later era
  // than that in which this daemon is registered. Returns false when the call
  // failed.
  bool ReadPeers();

  Loop& mLoop;
  TableService& mTable;
  PeerAddress mSelf;
  Random mRandom;
  std::vector<PeerAddress> mPeers;
  std::optional<Instant> mReadAt;
  // The newest era known, and that in which this daemon is registered.
  std::uint64_t mEra = 0;
  std::uint64_t mRegisteredEra = 0;
  Event mEraHasRisen;
};

} // namespace bilberrytrail
