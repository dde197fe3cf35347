#pragma once

#include "loading_notifier.h"
#include "peer_transport.h"
#include "site_notice.h"
#include "site_state.h"

#include <array>

namespace bilberrytrail {

// Reads what is new at the site from other daemons.
class PeerSiteReader
{
public:
  PeerSiteReader(Loop& aLoop,
                 PeerTransport& aTransport,
                 SiteState& aState,
                 LoadingNotifier& aNotifier);

  // Asks another daemon, which answers once it has something new or the wait is
  // over, and takes in its answer. Rows that the answer only names are read in
  // the background. Fails when there is no answer aMargin after the wait.
  Result<SiteNotice> Ask(SiteWay aWay,
                         const PeerAddress& aPeer,
                         Duration aWait,
                         Duration aMargin);

private:
  void Apply(const PeerAddress& aPeer,
             const SiteSource& aSource,
             const SiteNotice& aNotice,
             Instant aSentAt);
  void ApplyTable(SiteTable aTable,
                  const PeerAddress& aPeer,
                  const SiteSource& aSource,
                  const TableNotice& aNotice,
                  Instant aShownAt);
  // Reads rows until this daemon has those that were named.
  void ReadRows(SiteTable aTable,
                const PeerAddress& aPeer,
                const SiteSource& aSource);
  Result<RowsReply> CallForRows(SiteTable aTable, const PeerAddress& aPeer);

  // A table whose rows are being read.
  struct Reading
  {
    bool mIsReading = false;
    // Version of the newest change that was named.
    TableVersion mNamed;
  };

  [[nodiscard]] Reading& ReadingOf(SiteTable aTable) noexcept
  {
    return mReading[static_cast<std::size_t>(aTable)];
  }

  Loop& mLoop;
  PeerTransport& mTransport;
  SiteState& mState;
  LoadingNotifier& mNotifier;
  std::array<Reading, EnumCount<SiteTable>()> mReading;
};

} // namespace bilberrytrail
