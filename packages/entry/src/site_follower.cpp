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
// Time between two samples of the age of the evidence.
constexpr Duration kEvidencePeriod = 1s;
// Time between two lines of the log about replies.
constexpr int kSamplesPerLog = 5;

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
                           PeerTransport& aTransport,
                           SiteViewHolder& aViews,
                           SiteMetrics& aMetrics)
  : mLoop(aLoop)
  , mFeed(aFeed)
  , mPeers(aPeers)
  , mViews(aViews)
  , mMetrics(aMetrics)
  , mTransport(aTransport)
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
  mLoop.Spawn([this] { WatchEvidence(); });
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
  if (rows.value().mTableMs) {
    mClock.Observe(*rows.value().mTableMs, sentAt, BootNow());
  }
  const ReplicaRows read{ mustReadAll, std::move(rows).value() };
  const bool changed = ApplyRows(aTable, read, MonotonicNow());
  // An answer without changes comes at the end of the wait; it may be read much
  // later, as after the process was frozen.
  const bool hasWaited = !mustReadAll && read.mRows.mRows.empty();
  aMode = ReadMode::Wait;
  const Source source{ SiteWay::Table, {} };
  if (changed) {
    Publish(source);
  }
  if (aTable == SiteTable::Operator) {
    SetComplete(hasWaited ? std::min(sentAt + wait, BootNow()) : sentAt,
                source);
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
      ApplyReplica(SiteWay::Peer, peer, reply.value(), sentAt);
    }
  }
  mIsQueryingPeers = false;
}

Result<ReplicaReply>
SiteFollower::QueryPeer(const PeerAddress& aPeer)
{
  const auto reply = CallPeer(
    mTransport, aPeer, kReplicaMethod, ToJson(Versions()), kPeerTimeout);
  if (!reply) {
    return reply.error();
  }
  return ReadReplicaReply(reply.value());
}

void
SiteFollower::ApplyReplica(SiteWay aWay,
                           const PeerAddress& aPeer,
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
  const Source source{ aWay, aPeer.mName };
  if (changed) {
    Publish(source);
  }
  if (aReply.mLag) {
    SetComplete(aSentAt - *aReply.mLag, source);
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
      Publish({});
    }
  }
}

void
SiteFollower::SetComplete(Instant aAt, const Source& aSource)
{
  if (!mViews.IsDoubted(MonotonicNow()) && aAt > mCompleteAt) {
    mCompleteAt = aAt;
    mCompleteBy = aSource;
  }
}

// Samples the age of the evidence, and logs when it becomes old and new again.
void
SiteFollower::WatchEvidence()
{
  std::optional<Duration> longest;
  for (int n = 1; mLoop.Sleep(kEvidencePeriod); ++n) {
    if (n % kSamplesPerLog == 0) {
      mMetrics.LogReplies();
    }
    if (!mReplica.Version(SiteTable::Operator).IsKnown()) {
      continue;
    }
    const auto age = BootNow() - mCompleteAt;
    mMetrics.OnEvidenceAge(SiteTable::Operator, age);
    if (age > SiteViewHolder::kFreshTime) {
      if (!longest) {
        LogLine(LogEvent::EvidenceOld,
                { { "table", SiteTable::Operator },
                  { "age", age },
                  { "way", mCompleteBy.mWay },
                  { "daemon", mCompleteBy.mDaemon } });
      }
      longest = age;
    } else if (longest) {
      LogLine(LogEvent::EvidenceRenewed,
              { { "table", SiteTable::Operator },
                { "age", age },
                { "longest", *longest },
                { "way", mCompleteBy.mWay },
                { "daemon", mCompleteBy.mDaemon } });
      longest.reset();
    }
  }
}

void
SiteFollower::OnConfigInForce(const SiteConfig& aConfig, const Source& aSource)
{
  const auto tableMs = mReplica.TableMs(SiteTable::Operator);
  const auto late = tableMs ? mClock.Since(*tableMs, BootNow()) : std::nullopt;
  if (late) {
    mMetrics.OnConfig(aSource.mWay, *late);
  }
  LogLine(LogEvent::SiteConfigInForce,
          { { "config", aConfig.mVersion },
            { "routes", aConfig.mRoutes.size() },
            { "accounts", aConfig.mAccounts.size() },
            { "stores", aConfig.mStores.size() },
            { "way", aSource.mWay },
            { "daemon", aSource.mDaemon },
            { "late", late ? std::to_string(ToMillis(*late)) : "unknown" },
            { "evidence", BootNow() - mCompleteAt } });
}

void
SiteFollower::Publish(const Source& aSource)
{
  const auto before = mViews.Load();
  auto view = mAssembler.Assemble(mReplica, mCompleteAt);
  if (view->mConfig != nullptr &&
      (before == nullptr || before->mConfig != view->mConfig)) {
    OnConfigInForce(*view->mConfig, aSource);
  }
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
