#include "site_follower.h"

#include "peer_call.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

// Longest wait for changes in one call. A dead connection is detected
// kCallMargin later.
constexpr Duration kChangeWait = 2500ms;
constexpr Duration kCallMargin = 600ms;
// The margin while other daemons rely on this one.
constexpr Duration kServingCallMargin = 300ms;
constexpr Duration kReadTimeout = 1500ms;
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
constexpr Duration kExpiryPeriod = 200ms;

} // namespace

bool
SiteViewHolder::IsFresh(Instant aNow) const noexcept
{
  return Age(aNow) <= kFreshTime && !IsDoubted(aNow);
}

SiteFollower::SiteFollower(Loop& aLoop,
                           SiteFeed& aFeed,
                           const SiteReader& aReader,
                           PeerDirectory& aPeers,
                           SiteViewHolder& aViews)
  : mLoop(aLoop)
  , mFeed(aFeed)
  , mPeers(aPeers)
  , mViews(aViews)
  , mClient(aLoop)
  , mAssembler(aReader)
  , mWakeUps{ Event(aLoop), Event(aLoop) }
{
}

void
SiteFollower::Start()
{
  for (const auto table : AllOf<SiteTable>()) {
    mLoop.Spawn([this, table] { Follow(table); });
  }
  mLoop.Spawn([this] { WatchExpiry(); });
}

void
SiteFollower::SetDirect(bool aIsDirect, bool aIsServing)
{
  const bool startsDirect = aIsDirect && !mIsDirect;
  mIsDirect = aIsDirect;
  mIsServing = aIsServing;
  if (startsDirect) {
    for (auto& it : mWakeUps) {
      it.Notify();
    }
  }
}

void
SiteFollower::Follow(SiteTable aTable)
{
  auto mode = ReadMode::All;
  unsigned pauses = 1;
  while (!mLoop.IsStopping()) {
    if (!mIsDirect) {
      (void)mWakeUps[static_cast<std::size_t>(aTable)].Wait(kIndirectPause);
      continue;
    }
    if (ReadOnce(aTable, mode)) {
      pauses = 1;
      continue;
    }
    mode = mode == ReadMode::Wait ? ReadMode::Changes : mode;
    for (unsigned n = 0; n < pauses && mIsDirect; ++n) {
      QueryPeers();
      (void)mLoop.Sleep(kRetryPause);
    }
    pauses = std::min(pauses * 2, kMaxPauses);
  }
}

bool
SiteFollower::ReadOnce(SiteTable aTable, ReadMode& aMode)
{
  const bool mustReadAll = aMode == ReadMode::All;
  const auto longestWait = mIsServing ? kServingWait : kChangeWait;
  const auto wait = aMode == ReadMode::Wait ? longestWait : Duration(0);
  const auto margin = mIsServing ? kServingCallMargin : kCallMargin;
  const auto sentAt = BootNow();
  auto rows =
    mustReadAll
      ? mFeed.ReadAll(aTable, kReadTimeout)
      : mFeed.ReadChanges(
          aTable, mReplica.Version(aTable), wait, longestWait + margin);
  if (!rows) {
    if (rows.error().mError.mCode == ErrorCode::NotFound) {
      aMode = ReadMode::All;
      return true;
    }
    OnOutage(aTable, rows.error());
    return false;
  }
  // Changes may be overtaken by those of another daemon, whole tables are not.
  if (mustReadAll && rows.value().mVersion < mReplica.Version(aTable)) {
    OnOutage(aTable,
             FailCall(CallDisposition::NotRun,
                      ErrorCode::Corrupt,
                      "rows are older than this daemon's"));
    return false;
  }
  OnContact(aTable);
  const ReplicaRows read{ mustReadAll, std::move(rows).value() };
  const bool changed = ApplyRows(aTable, read, MonotonicNow());
  // An answer without changes comes at the end of the wait; it may be read much
  // later, as after the process was frozen.
  const bool hasWaited = !mustReadAll && read.mRows.mRows.empty();
  aMode = ReadMode::Wait;
  if (changed) {
    Publish();
  }
  if (aTable == SiteTable::Operator) {
    SetComplete(hasWaited ? std::min(sentAt + wait, BootNow()) : sentAt);
  }
  if (changed) {
    (void)mLoop.Sleep(kChangePause);
  }
  return true;
}

void
SiteFollower::OnContact(SiteTable aTable)
{
  const auto now = MonotonicNow();
  mReplica.OnContact(now);
  if (aTable == SiteTable::Operator) {
    mViews.Confirm(now);
  }
  if (mIsOutage) {
    mIsOutage = false;
    LogLine(LogEvent::TableUp, { { "table", aTable } });
  }
}

void
SiteFollower::OnOutage(SiteTable aTable, const CallError& aError)
{
  mReplica.OnOutage();
  if (!mIsOutage) {
    mIsOutage = true;
    LogLine(
      LogEvent::TableDown,
      { { "table", aTable },
        { "code", aError.mError.mCode },
        { "reason", aError.mError.mMessage },
        { "operator_version", mReplica.Version(SiteTable::Operator).Number() },
        { "servers_version", mReplica.Version(SiteTable::Servers).Number() } });
  }
}

void
SiteFollower::QueryPeers()
{
  if (mIsQueryingPeers) {
    return;
  }
  mIsQueryingPeers = true;
  for (const auto& peer : mPeers.PickOthers(kPeersPerQuery)) {
    const auto sentAt = BootNow();
    if (const auto reply = QueryPeer(peer)) {
      ApplyReplica(peer, reply.value(), sentAt);
    }
  }
  mIsQueryingPeers = false;
}

Result<ReplicaReply>
SiteFollower::QueryPeer(const PeerAddress& aPeer)
{
  const auto reply =
    CallPeer(mClient, aPeer, kReplicaMethod, ToJson(Versions()), kPeerTimeout);
  if (!reply) {
    return reply.error();
  }
  return ReadReplicaReply(reply.value());
}

void
SiteFollower::ApplyReplica(const PeerAddress& aPeer,
                           const ReplicaReply& aReply,
                           Instant aSentAt)
{
  const auto now = MonotonicNow();
  if (aReply.mIsTableReachable) {
    mReplica.OnContact(now);
    mViews.Confirm(now - aReply.mAge);
  }
  bool changed = false;
  if (aReply.mOperator) {
    changed = ApplyRows(SiteTable::Operator, *aReply.mOperator, now);
  }
  if (aReply.mServers) {
    changed = ApplyRows(SiteTable::Servers, *aReply.mServers, now) || changed;
  }
  if (changed && mIsDirect) {
    LogLine(
      LogEvent::PeerImageTaken,
      { { "daemon", aPeer.mName },
        { "in_reach", aReply.mIsTableReachable },
        { "operator_version", mReplica.Version(SiteTable::Operator).Number() },
        { "servers_version", mReplica.Version(SiteTable::Servers).Number() } });
  }
  if (changed) {
    Publish();
  }
  if (aReply.mLag) {
    SetComplete(aSentAt - *aReply.mLag);
  }
}

bool
SiteFollower::ApplyRows(SiteTable aTable,
                        const ReplicaRows& aRows,
                        Instant aNow)
{
  const auto before = mReplica.Version(aTable);
  const bool changed = aRows.mIsWhole
                         ? mReplica.Replace(aTable, aRows.mRows, aNow)
                         : mReplica.Merge(aTable, aRows.mRows, aNow);
  const auto after = mReplica.Version(aTable);
  if (before.IsKnown() && after.Era() > before.Era()) {
    LogLine(LogEvent::TableRestored,
            { { "table", aTable },
              { "era", after.Era() },
              { "version", after.Number() },
              { "version_before", before.Number() } });
    if (aTable == SiteTable::Operator) {
      mViews.DoubtUntil(aNow + SiteReplica::kRecoveryTime);
    }
  }
  return changed;
}

ReplicaQuery
SiteFollower::Versions() const noexcept
{
  return { mReplica.Version(SiteTable::Operator),
           mReplica.Version(SiteTable::Servers) };
}

ReplicaReply
SiteFollower::AnswerQuery(const ReplicaQuery& aQuery) const
{
  return AnswerReplicaQuery(aQuery,
                            mReplica,
                            !mIsOutage,
                            mViews.Age(MonotonicNow()),
                            BootNow() - mCompleteAt);
}

void
SiteFollower::WatchExpiry()
{
  while (mLoop.Sleep(kExpiryPeriod)) {
    if (mReplica.NextExpiry() && mReplica.Expire(MonotonicNow())) {
      LogLine(LogEvent::SiteServersChanged, { { "cause", "lapsed" } });
      Publish();
    }
  }
}

void
SiteFollower::Publish()
{
  const auto before = mViews.Load();
  auto view = mAssembler.Assemble(mReplica, mCompleteAt);
  if (before == nullptr || before->mServers.size() != view->mServers.size()) {
    LogLine(
      LogEvent::SiteServersChanged,
      { { "cause", "list" },
        { "servers", view->mServers.size() },
        { "servers_version", mReplica.Version(SiteTable::Servers).Number() } });
  }
  mViews.Store(std::move(view));
}

void
SiteFollower::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(std::string(kReplicaMethod),
               [this](const Json& aParams) -> Result<Json> {
                 const auto query = ReadReplicaQuery(aParams);
                 if (!query) {
                   return query.error();
                 }
                 return ToJson(AnswerQuery(query.value()));
               });
}

} // namespace bilberrytrail
