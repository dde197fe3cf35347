#include "table_follower.h"

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Longest wait for changes in one call, and time for the answer behind it.
constexpr Duration kChangeWait = 2500ms;
constexpr Duration kCallMargin = 600ms;
// When an answer is late by this time, its connection may have fallen silent,
// and a new one is tried beside it. With the longest wait that is less than the
// 3 s after which a daemon must be up to date again.
constexpr Duration kLateAnswer = 150ms;
// The margin while other daemons rely on this one.
constexpr Duration kServingCallMargin = 300ms;
constexpr Duration kReadTimeout = 1500ms;
// Longest pause within an answer, and longest time to receive a whole one: a
// large configuration takes long on a narrow link.
constexpr Duration kAnswerSilence = 600ms;
constexpr Duration kAnswerTime = 6s;
// Pause after a call that returned changes, to batch those of one moment.
constexpr Duration kChangePause = 80ms;
// Pause after a failed call, in which other daemons are queried, and the
// maximum number of such pauses between two calls.
constexpr Duration kRetryPause = 250ms;
constexpr unsigned kMaxPauses = 4;
// Time after which a fiber checks again without a wake-up.
constexpr Duration kIndirectPause = 1s;
constexpr Duration kPeerTimeout = 400ms;
// Daemons queried in one round.
constexpr std::size_t kPeersPerQuery = 2;
// Reads for rows that other daemons have.
constexpr unsigned kMaxReadsForRow = 3;
// Time between two looks for overdue evidence.
constexpr Duration kOverduePeriod = 250ms;
// Evidence is overdue after the longest wait on the way on which this daemon
// follows, with all margins.
constexpr Duration kOverdue = 2s;
constexpr Duration kOverdueWait = 3200ms;

} // namespace

TableFollower::TableFollower(Loop& aLoop,
                             SiteFeed& aFeed,
                             PeerDirectory& aPeers,
                             PeerSiteReader& aReader,
                             SiteState& aState)
  : mLoop(aLoop)
  , mFeed(aFeed)
  , mPeers(aPeers)
  , mReader(aReader)
  , mState(aState)
  , mFollowing{ Following(aLoop), Following(aLoop) }
{
}

void
TableFollower::Start()
{
  for (const auto table : AllOf<SiteTable>()) {
    mLoop.Spawn([this, table] { Follow(table); });
    mLoop.Spawn([this, table] { WatchAnswers(table); });
  }
  mLoop.Spawn([this] { WatchEvidence(); });
}

void
TableFollower::SetDirect(bool aIsDirect, bool aIsServing)
{
  const bool startsDirect = aIsDirect && !mIsDirect;
  mIsDirect = aIsDirect;
  mIsServing = aIsServing;
  if (startsDirect) {
    // What made the way before fail may have silenced idle connections, too.
    mFeed.Reconnect();
    for (auto& it : mFollowing) {
      it.mWakeUp.Notify();
    }
  }
}

void
TableFollower::Follow(SiteTable aTable)
{
  auto mode = ReadMode::All;
  unsigned pauses = 1;
  while (!mLoop.IsStopping()) {
    if (!mIsDirect) {
      (void)FollowingOf(aTable).mWakeUp.Wait(kIndirectPause);
      if (mState.Version(aTable).IsKnown()) {
        // The answer tells at once what this daemon lacks.
        mode = ReadMode::Changes;
      }
      continue;
    }
    const auto outcome = ReadOnce(aTable, mode);
    if (outcome != ReadOutcome::Failed) {
      mode = outcome == ReadOutcome::Unknown ? ReadMode::All : ReadMode::Wait;
      pauses = 1;
      if (outcome == ReadOutcome::Changed) {
        (void)mLoop.Sleep(kChangePause);
      }
      continue;
    }
    mode = mode == ReadMode::Wait ? ReadMode::Changes : mode;
    for (unsigned n = 0; n < pauses && mIsDirect; ++n) {
      // Daemons that don't respond must not delay the next call.
      mLoop.Spawn([this] { QueryPeers(); });
      (void)mLoop.Sleep(kRetryPause);
    }
    pauses = std::min(pauses * 2, kMaxPauses);
  }
}

Duration
TableFollower::LongestWait() const noexcept
{
  return mIsServing ? kServingWait : kChangeWait;
}

CallResult<SiteRows>
TableFollower::Read(SiteTable aTable, ReadMode aMode)
{
  if (aMode == ReadMode::All) {
    return mFeed.ReadAll(aTable, { kReadTimeout, kAnswerSilence, kAnswerTime });
  }
  const bool waits = aMode == ReadMode::Wait;
  const auto wait = waits ? LongestWait() : Duration(0);
  const auto margin = mIsServing ? kServingCallMargin : kCallMargin;
  const auto begin = waits ? wait + margin : kReadTimeout;
  return mFeed.ReadChanges(aTable,
                           mState.Version(aTable),
                           wait,
                           { begin, kAnswerSilence, begin + kAnswerTime });
}

TableFollower::ReadOutcome
TableFollower::ReadOnce(SiteTable aTable, ReadMode aMode)
{
  const bool mustReadAll = aMode == ReadMode::All;
  const bool waits = aMode == ReadMode::Wait;
  const auto wait = waits ? LongestWait() : Duration(0);
  const auto sentAt = BootNow();
  auto& following = FollowingOf(aTable);
  if (waits) {
    following.mOverdueAt = MonotonicNow() + wait + kLateAnswer;
    if (*following.mOverdueAt < following.mLookAt) {
      following.mLook.Notify();
    }
  }
  auto rows = Read(aTable, aMode);
  if (waits) {
    following.mOverdueAt.reset();
  }
  if (!rows) {
    if (rows.error().mError.mCode == ErrorCode::NotFound) {
      return ReadOutcome::Unknown;
    }
    if (waits && following.mAnsweredAt > sentAt) {
      // Only this connection has failed.
      return ReadOutcome::Unchanged;
    }
    mState.OnTableFailure(aTable, rows.error());
    return ReadOutcome::Failed;
  }
  // Changes may be overtaken by those of another daemon, whole tables are not.
  if (mustReadAll && rows.value().mVersion < mState.Version(aTable)) {
    mState.OnTableFailure(aTable,
                          FailCall(CallDisposition::NotRun,
                                   ErrorCode::Corrupt,
                                   "rows are older than this daemon's"));
    return ReadOutcome::Failed;
  }
  following.mAnsweredAt = std::max(following.mAnsweredAt, sentAt);
  // An answer without changes comes at the end of the wait; it may be read much
  // later, as after the process was frozen.
  const bool isEmpty = rows.value().mRows.empty();
  const bool hasWaited = !mustReadAll && isEmpty && BootNow() >= sentAt + wait;
  mState.OnTableRows(aTable,
                     { mustReadAll, std::move(rows).value() },
                     sentAt,
                     hasWaited ? sentAt + wait : sentAt);
  return isEmpty ? ReadOutcome::Unchanged : ReadOutcome::Changed;
}

void
TableFollower::WatchAnswers(SiteTable aTable)
{
  auto& following = FollowingOf(aTable);
  while (!mLoop.IsStopping()) {
    const auto now = MonotonicNow();
    if (following.mOverdueAt && now >= *following.mOverdueAt) {
      following.mOverdueAt.reset();
      mFeed.Reconnect();
      Check(aTable);
      continue;
    }
    following.mLookAt =
      following.mOverdueAt.value_or(now + kChangeWait + kLateAnswer);
    (void)following.mLook.Wait(following.mLookAt - now);
  }
}

void
TableFollower::Check(SiteTable aTable)
{
  if (!mState.Version(aTable).IsKnown()) {
    return;
  }
  auto outcome = ReadOnce(aTable, ReadMode::Changes);
  if (outcome == ReadOutcome::Unknown) {
    outcome = ReadOnce(aTable, ReadMode::All);
  }
  if (outcome == ReadOutcome::Failed) {
    QueryPeers();
  }
}

void
TableFollower::OnNewerRow(SiteTable aTable,
                          TableVersion aRow,
                          Duration aPatience)
{
  auto& awaited = FollowingOf(aTable).mAwaited;
  if (awaited) {
    awaited = std::max(*awaited, aRow);
    return;
  }
  awaited = aRow;
  unsigned reads = 0;
  auto row = aRow;
  while (mState.Version(aTable) < *awaited && reads < kMaxReadsForRow &&
         mLoop.Sleep(aPatience)) {
    if (mState.Version(aTable) < row) {
      LogLine(LogEvent::ChangeMissed,
              { { "table", aTable },
                { "row_version", row.Number() },
                { "version", mState.Version(aTable).Number() },
                { "evidence", mState.Lag(aTable) } });
      mFeed.Reconnect();
      Check(aTable);
      ++reads;
    }
    // Rows that others told of meanwhile get the same time to come.
    row = *awaited;
  }
  awaited.reset();
}

bool
TableFollower::IsOverdue(SiteTable aTable) const
{
  const bool mayWaitLong = mIsDirect && !mIsServing;
  return mState.Version(aTable).IsKnown() && !mState.HasOutage(aTable) &&
         mState.Lag(aTable) > (mayWaitLong ? kOverdueWait : kOverdue);
}

void
TableFollower::WatchEvidence()
{
  while (mLoop.Sleep(kOverduePeriod)) {
    for (const auto table : AllOf<SiteTable>()) {
      if (IsOverdue(table)) {
        mFeed.Reconnect();
        Check(table);
      }
    }
  }
}

void
TableFollower::QueryPeers()
{
  if (mIsQueryingPeers) {
    return;
  }
  mIsQueryingPeers = true;
  for (const auto& peer : mPeers.PickOthers(kPeersPerQuery)) {
    (void)mReader.Ask(SiteWay::Peer, peer, Duration(0), kPeerTimeout);
  }
  mIsQueryingPeers = false;
}

} // namespace bilberrytrail
