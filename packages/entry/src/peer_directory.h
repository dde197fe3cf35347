#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/runtime/loop.h>

#include <vector>

namespace bilberrytrail {

// Another daemon of the site.
struct PeerAddress
{
  DaemonId mName;
  Endpoint mEndpoint;
  // Empty when its row does not say.
  ZoneId mZone;
  // Megabits per second of its VM's link; 0 when its row does not say.
  double mLinkMbps = 0;
};

// Returns the text of a daemon's row.
[[nodiscard]] std::string
ToRowText(const PeerAddress& aPeer);
// Reads a daemon's row; fails with InvalidInput.
[[nodiscard]] Result<PeerAddress>
ReadPeerRow(const DaemonId& aName, const std::string& aText);

// The daemons of the site, from a row that each writes at its start. Rows of
// daemons that went stay: whoever asks such a daemon asks another one then.
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
  // Returns whether the rows were read once.
  [[nodiscard]] bool IsComplete() const noexcept { return mIsComplete; }
  // Returns this daemon's place among all for a duty, 0 for the first.
  [[nodiscard]] std::size_t RankFor(std::string_view aKey) const;
  // Returns some other daemons, in random order.
  [[nodiscard]] std::vector<PeerAddress> PickOthers(std::size_t aLimit);

  // Writes the own row and reads the others, until the loop stops.
  void Run();

private:
  bool Register();
  bool ReadPeers();

  Loop& mLoop;
  TableService& mTable;
  const PeerAddress mSelf;
  Random mRandom;
  std::vector<PeerAddress> mPeers;
  bool mIsComplete = false;
};

} // namespace bilberrytrail
