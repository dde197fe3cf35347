#include "relay_follower.h"

#include "peer_call.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// Time between two queries to the relay; it bounds the delay of changes.
constexpr Duration kQueryPeriod = 300ms;
// A call within an availability zone takes a few milliseconds.
constexpr Duration kQueryTimeout = 300ms;
// A relay whose replica was confirmed longer ago is not used. A daemon that
// serves as a relay gets an answer each SiteFollower::kServingWait.
constexpr Duration kMaxReplicaAge = 1200ms;
// Time for which this daemon follows directly after a failed query to its
// relay, and after the last query of another daemon.
constexpr Duration kDirectTime = 2s;
constexpr Duration kServingTime = 3s;

// Replies of which one is measured.
constexpr std::size_t kAnswersPerSample = 16;

bool
IsWithin(const std::optional<Instant>& aSince, Duration aTime, Instant aNow)
{
  return aSince && aNow < *aSince + aTime;
}

} // namespace

Json
ToJson(const RelayQuery& aQuery)
{
  return { { "image", ToJson(aQuery.mReplica) },
           { "cache", ToJson(aQuery.mCache) } };
}

Result<RelayQuery>
ReadRelayQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  RelayQuery query;
  query.mReplica = ReadObjectField(fields, "image", ReadReplicaQuery);
  query.mCache = ReadObjectField(fields, "cache", ReadCacheCursor);
  return Checked(fields, query);
}

Result<RelayReply>
ReadRelayReply(const Json& aJson)
{
  JsonFields fields(aJson);
  RelayReply reply;
  reply.mReplica = ReadObjectField(fields, "image", ReadReplicaReply);
  reply.mCache = ReadObjectField(fields, "cache", ReadCachePage);
  reply.mLoading = ReadServerIds(fields, "loading");
  return Checked(fields, std::move(reply));
}

RelayFollower::RelayFollower(Loop& aLoop,
                             PeerDirectory& aPeers,
                             PeerTransport& aTransport,
                             SiteFollower& aSite,
                             StoreFollower& aStores,
                             LoadingNotifier& aNotifier,
                             CacheSink& aSink,
                             RelayChoice aChoice,
                             SiteMetrics& aMetrics)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mSite(aSite)
  , mStores(aStores)
  , mNotifier(aNotifier)
  , mSink(aSink)
  , mTransport(aTransport)
  , mChoice(std::move(aChoice))
  , mMetrics(aMetrics)
{
}

bool
RelayFollower::IsServing(Instant aNow) const
{
  return IsWithin(mQueriedAt, kServingTime, aNow) || !mPeers.IsComplete() ||
         mChoice.IsFirst(mPeers.All());
}

void
RelayFollower::SetDirect(bool aIsServing, Instant aNow)
{
  const bool isDirect = aIsServing || !mHasRelay;
  mSite.SetDirect(isDirect || IsWithin(mFailedAt, kDirectTime, aNow),
                  aIsServing);
  mStores.SetDirect(isDirect);
  if (isDirect) {
    // The next relay is read from the start of its change log.
    mCursor = CacheCursor();
  }
}

void
RelayFollower::LeaveRelay(bool aIsServing)
{
  if (!mRelay.IsEmpty()) {
    LogLine(LogEvent::RelayLeft,
            { { "daemon", mRelay }, { "serving", aIsServing } });
    mRelay = DaemonId();
  }
}

void
RelayFollower::Run()
{
  while (mLoop.Sleep(kQueryPeriod)) {
    const auto now = MonotonicNow();
    const auto relay = mChoice.Pick(mPeers.All(), now);
    const bool isServing = IsServing(now);
    mHasRelay = relay && !isServing;
    SetDirect(isServing, now);
    if (!mHasRelay) {
      LeaveRelay(isServing);
      continue;
    }
    while (QueryRelay(*relay)) {
    }
    const auto after = MonotonicNow();
    SetDirect(IsServing(after), after);
  }
}

bool
RelayFollower::QueryRelay(const PeerAddress& aRelay)
{
  const auto sentAt = BootNow();
  const auto reply = Call(aRelay);
  const auto now = MonotonicNow();
  const bool isUsable = reply && reply.value().mReplica.mIsTableReachable &&
                        reply.value().mReplica.mAge <= kMaxReplicaAge;
  if (!isUsable) {
    LogLine(
      LogEvent::RelayFailed,
      { { "daemon", aRelay.mName },
        { "reason",
          reply ? "its replica is too old, or its table service unreachable"
                : reply.error().mMessage },
        { "age", reply ? reply.value().mReplica.mAge : Duration(0) } });
    mChoice.OnFailure(aRelay.mName, now);
    mFailedAt = now;
    return false;
  }
  mChoice.OnAnswer(aRelay.mName);
  ApplyReply(aRelay, reply.value(), sentAt);
  return reply.value().mCache.mHasMore && !mLoop.IsStopping();
}

Result<RelayReply>
RelayFollower::Call(const PeerAddress& aRelay)
{
  const RelayQuery query{ mSite.Versions(), mCursor };
  const auto reply =
    CallPeer(mTransport, aRelay, kRelayMethod, ToJson(query), kQueryTimeout);
  if (!reply) {
    return reply.error();
  }
  return ReadRelayReply(reply.value());
}

void
RelayFollower::ApplyReply(const PeerAddress& aRelay,
                          const RelayReply& aReply,
                          Instant aSentAt)
{
  if (mRelay != aRelay.mName) {
    LogLine(LogEvent::RelayFollowed, { { "daemon", aRelay.mName } });
    mRelay = aRelay.mName;
  }
  mSite.ApplyReplica(SiteWay::Relay, aRelay, aReply.mReplica, aSentAt);
  if (IsServing(MonotonicNow())) {
    // Another daemon has queried this one meanwhile, so this one follows the
    // stores directly.
    return;
  }
  mCursor = aReply.mCache.mCursor;
  mSink.OnPage(aReply.mCache);
  mNotifier.ApplyLoading(aReply.mLoading);
}

Result<Json>
RelayFollower::Answer(const Json& aParams)
{
  const auto query = ReadRelayQuery(aParams);
  if (!query) {
    return query.error();
  }
  mQueriedAt = MonotonicNow();
  SetDirect(true, *mQueriedAt);
  const auto begin = MonotonicNow();
  auto site = ToJson(mSite.AnswerQuery(query.value().mReplica));
  const auto middle = MonotonicNow();
  auto cache = ToJson(mStores.PageAt(query.value().mCache));
  const auto end = MonotonicNow();
  if (++mAnswers % kAnswersPerSample == 0) {
    mMetrics.OnReply(RelayReplyKind::Site, site.dump().size(), middle - begin);
    mMetrics.OnReply(RelayReplyKind::Cache, cache.dump().size(), end - middle);
  }
  return Json{ { "image", std::move(site) },
               { "cache", std::move(cache) },
               { "loading", ToJson(mNotifier.Loading(*mQueriedAt)) } };
}

void
RelayFollower::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(std::string(kRelayMethod),
               [this](const Json& aParams) { return Answer(aParams); });
}

} // namespace bilberrytrail
