#include "relay_follower.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

// Time between two looks for a relay while there is none.
constexpr Duration kLookPeriod = 300ms;
// Longest wait for something new in one query, and time for the answer behind
// it, which is small and takes a few milliseconds within a zone.
constexpr Duration kNoticeWait = 700ms;
constexpr Duration kNoticeMargin = 300ms;
// Shortest time between two queries.
constexpr Duration kQueryGap = 50ms;
// Time for which this daemon follows directly after a failed query to its
// relay, and after the last query of a daemon that relies on it.
constexpr Duration kDirectTime = 2s;
constexpr Duration kServingTime = 3s;
// Failures in a row of a daemon that was late itself, from which on they count
// as the relay's.
constexpr unsigned kMaxLateFailures = 3;

bool
IsWithin(const std::optional<Instant>& aSince, Duration aTime, Instant aNow)
{
  return aSince && aNow < *aSince + aTime;
}

} // namespace

RelayFollower::RelayFollower(Loop& aLoop,
                             PeerDirectory& aPeers,
                             TableFollower& aTables,
                             PeerSiteReader& aReader,
                             SiteServer& aServer,
                             CacheFollower& aCache,
                             const LoopWatch& aWatch,
                             RelayChoice aChoice)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mTables(aTables)
  , mReader(aReader)
  , mServer(aServer)
  , mCache(aCache)
  , mWatch(aWatch)
  , mChoice(std::move(aChoice))
{
}

bool
RelayFollower::IsServing(Instant aNow) const
{
  return IsWithin(mAskedAt, kServingTime, aNow) || mRole.mIsFirst;
}

bool
RelayFollower::MayServe() const
{
  return !mIsLeaving && mRole.mIsCandidate;
}

void
RelayFollower::UpdateRole()
{
  if (mPeers.IsComplete()) {
    const auto& peers = mPeers.All();
    mRole = { mChoice.HasRelays(peers),
              mChoice.IsCandidate(peers),
              mChoice.IsFirst(peers) };
  }
}

void
RelayFollower::Update(Instant aNow)
{
  const bool isServing = IsServing(aNow);
  mTables.SetDirect(isServing || !mHasRelay ||
                      IsWithin(mFailedAt, kDirectTime, aNow),
                    isServing);
  if (mPeers.IsComplete()) {
    mCache.SetKept(mRole.mIsCandidate);
    mCache.SetDirect(!mRole.mZoneHasRelays ||
                     (isServing && mRole.mIsCandidate));
  }
}

void
RelayFollower::SetRelay(const PeerAddress* aRelay)
{
  // A relay that has restarted may have another port.
  const auto bulk = aRelay == nullptr ? std::nullopt : aRelay->mBulk;
  if (bulk != mRelayBulk) {
    mRelayBulk = bulk;
    mCache.SetRelay(bulk);
  }
  const auto name = aRelay == nullptr ? DaemonId() : aRelay->mName;
  if (name == mRelay) {
    return;
  }
  if (aRelay == nullptr) {
    LogLine(LogEvent::RelayLeft,
            { { "daemon", mRelay }, { "serving", IsServing(BootNow()) } });
  } else {
    LogLine(LogEvent::RelayFollowed, { { "daemon", name } });
  }
  mRelay = name;
}

void
RelayFollower::Run()
{
  while (!mLoop.IsStopping()) {
    const auto now = BootNow();
    UpdateRole();
    const auto relay = mChoice.Pick(mPeers.All(), now);
    mHasRelay = relay && !IsServing(now);
    Update(now);
    if (mHasRelay) {
      AskRelay(*relay);
      (void)mLoop.Sleep(kQueryGap);
    } else {
      SetRelay(nullptr);
      (void)mLoop.Sleep(kLookPeriod);
    }
  }
}

void
RelayFollower::AskRelay(const PeerAddress& aRelay)
{
  const auto sentAt = BootNow();
  const auto notice =
    mReader.Ask(SiteWay::Relay, aRelay, kNoticeWait, kNoticeMargin);
  const auto& lag =
    notice ? notice.value()
               .mTables[static_cast<std::size_t>(SiteTable::Operator)]
               .mLag
           : std::optional<Duration>();
  const bool isUsable = notice && notice.value().mIsTableReachable && lag &&
                        *lag <= SiteServer::kMaxLag;
  if (isUsable) {
    OnAnswer(aRelay);
  } else if (!mLoop.IsStopping()) {
    OnFailure(aRelay, notice, sentAt);
  }
  Update(BootNow());
}

void
RelayFollower::OnAnswer(const PeerAddress& aRelay)
{
  mLateFailures = 0;
  mChoice.OnAnswer(aRelay.mName);
  if (!IsServing(BootNow())) {
    SetRelay(&aRelay);
  }
}

void
RelayFollower::OnFailure(const PeerAddress& aRelay,
                         const Result<SiteNotice>& aNotice,
                         Instant aSentAt)
{
  // A daemon that reads late cannot tell a late answer from its own delay, and
  // would be late at the next relay as well.
  const bool isOwnDelay =
    !aNotice && aNotice.error().mCode == ErrorCode::Timeout &&
    mWatch.WasLateSince(aSentAt) && ++mLateFailures < kMaxLateFailures;
  LogLine(
    LogEvent::RelayFailed,
    { { "daemon", aRelay.mName },
      { "reason",
        aNotice ? "its replica is too old, or its table service unreachable"
                : aNotice.error().mMessage },
      { "own_delay", isOwnDelay } });
  if (isOwnDelay) {
    return;
  }
  mLateFailures = 0;
  const auto now = BootNow();
  mChoice.OnFailure(aRelay.mName, now);
  mFailedAt = now;
}

Result<Json>
RelayFollower::Answer(const Json& aParams)
{
  const auto query = ReadNoticeQuery(aParams);
  if (!query) {
    return query.error();
  }
  if (!query.value().mFollows) {
    return ToJson(mServer.Answer(query.value(), [] { return true; }));
  }
  if (!MayServe()) {
    return Fail(ErrorCode::Refused, "not a relay of its zone, or stopping");
  }
  mAskedAt = BootNow();
  Update(*mAskedAt);
  auto notice = mServer.Answer(query.value(), [this] { return MayServe(); });
  if (!MayServe()) {
    return Fail(ErrorCode::Refused, "stopping");
  }
  return ToJson(notice);
}

void
RelayFollower::Leave()
{
  mIsLeaving = true;
  mServer.WakeAll();
}

void
RelayFollower::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(std::string(kNoticeMethod),
               [this](const Json& aParams) { return Answer(aParams); });
}

} // namespace bilberrytrail
