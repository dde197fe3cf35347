#pragma once

#include "peer_directory.h"
#include "peer_site_reader.h"
#include "site_state.h"

#include <bilberrytrail/runtime/loop.h>

#include <array>
#include <optional>

namespace bilberrytrail {

// Follows the operator's and the servers' tables while this daemon follows them
// directly, and asks other daemons while the table service does not answer. A
// table of which the evidence is overdue is read once more, whichever way it is
// followed on.
class TableFollower
{
public:
  TableFollower(Loop& aLoop,
                SiteFeed& aFeed,
                PeerDirectory& aPeers,
                PeerSiteReader& aReader,
                SiteState& aState);

  // Longest wait for changes in one call while other daemons rely on this one.
  static constexpr Duration kServingWait = 700ms;

  // Starts the fibers that follow the tables.
  void Start();
  // Sets whether this daemon follows the tables directly, and whether others
  // rely on it.
  void SetDirect(bool aIsDirect, bool aIsServing);
  // Reads the changes of a table by now, beside any wait for changes. Returns
  // when they are read, or can't be.
  void Check(SiteTable aTable);
  // Takes note that another daemon has a row of a table. If it has not come to
  // this one either after aPatience, reads the table on a new connection: the
  // way on which changes come may be silent.
  void OnNewerRow(SiteTable aTable, TableVersion aRow, Duration aPatience);

private:
  // What the next call reads.
  enum class ReadMode : unsigned char
  {
    All,
    // What has changed by now: after a failed call, the answer tells at once
    // whether the table service is in another era.
    Changes,
    // The next changes.
    Wait
  };

  void Follow(SiteTable aTable);
  void WatchEvidence();
  [[nodiscard]] bool IsOverdue(SiteTable aTable) const;
  // What a call returned.
  enum class ReadOutcome : unsigned char
  {
    Failed,
    // All rows must be read.
    Unknown,
    Unchanged,
    Changed
  };

  ReadOutcome ReadOnce(SiteTable aTable, ReadMode aMode);
  // Reads a table on a new connection while the answer to a wait for changes is
  // overdue.
  void WatchAnswers(SiteTable aTable);
  [[nodiscard]] CallResult<SiteRows> Read(SiteTable aTable, ReadMode aMode);
  [[nodiscard]] Duration LongestWait() const noexcept;
  void QueryPeers();

  Loop& mLoop;
  SiteFeed& mFeed;
  PeerDirectory& mPeers;
  PeerSiteReader& mReader;
  SiteState& mState;
  bool mIsQueryingPeers = false;
  bool mIsDirect = true;
  // Initially true: others may rely on this daemon once it has started.
  bool mIsServing = true;
  // How one table is followed.
  struct Following
  {
    explicit Following(Loop& aLoop)
      : mWakeUp(aLoop)
      , mLook(aLoop)
    {
    }

    // Wakes the table's fiber when this daemon begins to follow directly.
    Event mWakeUp;
    // When the answer to the wait in progress is overdue.
    std::optional<Instant> mOverdueAt;
    // When the fiber that watches the answers looks next, and what wakes it
    // before.
    Instant mLookAt;
    Event mLook;
    // When the last call that was answered was sent, on the boot clock.
    Instant mAnsweredAt;
    // The newest row that other daemons have, while it is awaited.
    std::optional<TableVersion> mAwaited;
  };

  [[nodiscard]] Following& FollowingOf(SiteTable aTable) noexcept
  {
    return mFollowing[static_cast<std::size_t>(aTable)];
  }

  std::array<Following, EnumCount<SiteTable>()> mFollowing;
};

} // namespace bilberrytrail
