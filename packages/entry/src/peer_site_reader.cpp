#include "peer_site_reader.h"

#include "peer_call.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Rows may be many, on a link that is slow.
constexpr AnswerLimits kRowsLimits{ 1s, 1s, 10s };
// Pause after rows could not be read.
constexpr Duration kRetryPause = 300ms;

} // namespace

PeerSiteReader::PeerSiteReader(Loop& aLoop,
                               PeerTransport& aTransport,
                               SiteState& aState,
                               LoadingNotifier& aNotifier)
  : mLoop(aLoop)
  , mTransport(aTransport)
  , mState(aState)
  , mNotifier(aNotifier)
{
}

Result<SiteNotice>
PeerSiteReader::Ask(SiteWay aWay,
                    const PeerAddress& aPeer,
                    Duration aWait,
                    Duration aMargin)
{
  NoticeQuery query;
  query.mWait = aWait;
  query.mFollows = aWay == SiteWay::Relay;
  for (const auto table : AllOf<SiteTable>()) {
    const auto n = static_cast<std::size_t>(table);
    query.mVersions[n] = mState.Version(table);
    query.mKnown[n] = std::max(query.mVersions[n], ReadingOf(table).mNamed);
  }
  const auto sentAt = BootNow();
  const auto reply =
    CallPeer(mTransport, aPeer, kNoticeMethod, ToJson(query), aWait + aMargin);
  if (!reply) {
    return reply.error();
  }
  auto notice = ReadSiteNotice(reply.value());
  if (notice) {
    Apply(aPeer, { aWay, aPeer.mName }, notice.value(), sentAt);
  }
  return notice;
}

void
PeerSiteReader::Apply(const PeerAddress& aPeer,
                      const SiteSource& aSource,
                      const SiteNotice& aNotice,
                      Instant aSentAt)
{
  if (aNotice.mIsTableReachable) {
    mState.OnReachableElsewhere();
  }
  // The answer left the other daemon at this time or later.
  const auto shownAt = std::min(aSentAt + aNotice.mHeld, BootNow());
  for (const auto table : AllOf<SiteTable>()) {
    ApplyTable(table,
               aPeer,
               aSource,
               aNotice.mTables[static_cast<std::size_t>(table)],
               shownAt);
  }
  if (const auto& loading = aNotice.mLoading) {
    mNotifier.ApplyLoading(loading->mServers, shownAt - loading->mAge);
  }
}

void
PeerSiteReader::ApplyTable(SiteTable aTable,
                           const PeerAddress& aPeer,
                           const SiteSource& aSource,
                           const TableNotice& aNotice,
                           Instant aShownAt)
{
  if (aNotice.mRows) {
    mState.OnPeerRows(aTable, *aNotice.mRows, aSource);
  } else if (mState.Version(aTable) >= aNotice.mChanged) {
    // No rows have changed, but the version has.
    mState.OnPeerRows(
      aTable, { false, { {}, aNotice.mVersion, std::nullopt } }, aSource);
  }
  if (mState.Version(aTable) >= aNotice.mChanged) {
    if (aNotice.mLag) {
      mState.SetComplete(aTable, aShownAt - *aNotice.mLag, aSource);
    }
    return;
  }
  auto& reading = ReadingOf(aTable);
  reading.mNamed = std::max(reading.mNamed, aNotice.mChanged);
  if (!reading.mIsReading) {
    reading.mIsReading = true;
    mLoop.Spawn(
      [this, aTable, aPeer, aSource] { ReadRows(aTable, aPeer, aSource); });
  }
}

void
PeerSiteReader::ReadRows(SiteTable aTable,
                         const PeerAddress& aPeer,
                         const SiteSource& aSource)
{
  auto& reading = ReadingOf(aTable);
  while (!mLoop.IsStopping() && mState.Version(aTable) < reading.mNamed) {
    const auto before = mState.Version(aTable);
    const auto sentAt = BootNow();
    const auto reply = CallForRows(aTable, aPeer);
    if (reply) {
      mState.OnPeerRows(aTable, reply.value().mRows, aSource);
    }
    if (mState.Version(aTable) <= before) {
      (void)mLoop.Sleep(kRetryPause);
      break;
    }
    if (reply && reply.value().mLag) {
      mState.SetComplete(aTable, sentAt - *reply.value().mLag, aSource);
    }
  }
  reading = Reading();
}

Result<RowsReply>
PeerSiteReader::CallForRows(SiteTable aTable, const PeerAddress& aPeer)
{
  const auto reply =
    mTransport.Call(aPeer.mEndpoint,
                    kRowsPath,
                    EncodeRowsQuery({ aTable, mState.Version(aTable) }),
                    kRowsLimits);
  if (!reply) {
    return reply.error();
  }
  return DecodeRowsReply(reply.value());
}

} // namespace bilberrytrail
