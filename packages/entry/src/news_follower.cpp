#include "news_follower.h"

#include "peer_call.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// How often another daemon is asked; new versions are this late at most.
constexpr Duration kAskPeriod = 300ms;
// Inside an availability zone a call takes a few milliseconds.
constexpr Duration kAskTime = 300ms;
// A daemon whose copies were confirmed longer ago is not relied on. A daemon
// that follows for others has an answer each SiteFollower::kServingWait.
constexpr Duration kMaxAge = 1200ms;
// How long this daemon follows by itself behind a failed call, and behind the
// last call of another daemon.
constexpr Duration kDirectTime = 2s;
constexpr Duration kServeTime = 3s;

bool
IsWithin(const std::optional<Instant>& aSince, Duration aTime, Instant aNow)
{
  return aSince && aNow < *aSince + aTime;
}

} // namespace

Json
ToJson(const NewsQuery& aQuery)
{
  return { { "image", ToJson(aQuery.mImage) },
           { "cache", ToJson(aQuery.mCache) } };
}

Result<NewsQuery>
ReadNewsQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  NewsQuery query;
  query.mImage = ReadObjectField(fields, "image", ReadImageQuery);
  query.mCache = ReadObjectField(fields, "cache", ReadCacheCursor);
  return Checked(fields, query);
}

Json
ToJson(const NewsReply& aReply)
{
  return { { "image", ToJson(aReply.mImage) },
           { "cache", ToJson(aReply.mCache) },
           { "loading", ToJson(aReply.mLoading) } };
}

Result<NewsReply>
ReadNewsReply(const Json& aJson)
{
  JsonFields fields(aJson);
  NewsReply reply;
  reply.mImage = ReadObjectField(fields, "image", ReadImageReply);
  reply.mCache = ReadObjectField(fields, "cache", ReadCachePage);
  reply.mLoading = ReadServerIds(fields, "loading");
  return Checked(fields, std::move(reply));
}

NewsFollower::NewsFollower(Loop& aLoop,
                           PeerDirectory& aPeers,
                           SiteFollower& aSite,
                           StoreFollower& aStores,
                           RollNotice& aNotice,
                           CacheSink& aSink,
                           RelayChoice aChoice)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mSite(aSite)
  , mStores(aStores)
  , mNotice(aNotice)
  , mSink(aSink)
  , mClient(aLoop)
  , mChoice(std::move(aChoice))
{
}

bool
NewsFollower::IsServing(Instant aNow) const
{
  return IsWithin(mAskedAt, kServeTime, aNow) || !mPeers.IsComplete() ||
         mChoice.IsFirst(mPeers.All());
}

void
NewsFollower::SetDirect(bool aIsServing, Instant aNow)
{
  const bool isAlone = aIsServing || !mHasRelay;
  mSite.SetDirect(isAlone || IsWithin(mFailedAt, kDirectTime, aNow),
                  aIsServing);
  mStores.SetDirect(isAlone);
  if (isAlone) {
    // The next daemon's news begin anew.
    mCursor = CacheCursor();
  }
}

void
NewsFollower::LeaveRelay(bool aIsServing)
{
  if (!mRelay.IsEmpty()) {
    LogLine(LogEvent::RelayLeft,
            { { "daemon", mRelay }, { "serving", aIsServing } });
    mRelay = DaemonId();
  }
}

void
NewsFollower::Run()
{
  while (mLoop.Sleep(kAskPeriod)) {
    const auto now = MonotonicNow();
    const auto relay = mChoice.Pick(mPeers.All(), now);
    const bool isServing = IsServing(now);
    mHasRelay = relay && !isServing;
    SetDirect(isServing, now);
    if (!mHasRelay) {
      LeaveRelay(isServing);
      continue;
    }
    while (Ask(*relay)) {
    }
    const auto then = MonotonicNow();
    SetDirect(IsServing(then), then);
  }
}

bool
NewsFollower::Ask(const PeerAddress& aRelay)
{
  const auto reply = Call(aRelay);
  const auto now = MonotonicNow();
  const bool isGood = reply && reply.value().mImage.mIsInReach &&
                      reply.value().mImage.mAge <= kMaxAge;
  if (!isGood) {
    LogLine(
      LogEvent::RelayFailed,
      { { "daemon", aRelay.mName },
        { "reason", reply ? "its copies are old" : reply.error().mMessage },
        { "age", reply ? reply.value().mImage.mAge : Duration(0) } });
    mChoice.OnFailure(aRelay.mName, now);
    mFailedAt = now;
    return false;
  }
  mChoice.OnAnswer(aRelay.mName);
  Take(aRelay, reply.value());
  return reply.value().mCache.mHasMore && !mLoop.IsStopping();
}

Result<NewsReply>
NewsFollower::Call(const PeerAddress& aRelay)
{
  const NewsQuery query{ mSite.Versions(), mCursor };
  const auto reply =
    CallPeer(mClient, aRelay, kNewsMethod, ToJson(query), kAskTime);
  if (!reply) {
    return reply.error();
  }
  return ReadNewsReply(reply.value());
}

void
NewsFollower::Take(const PeerAddress& aRelay, const NewsReply& aReply)
{
  if (mRelay != aRelay.mName) {
    LogLine(LogEvent::RelayFollowed, { { "daemon", aRelay.mName } });
    mRelay = aRelay.mName;
  }
  mSite.TakeReply(aRelay, aReply.mImage);
  if (IsServing(MonotonicNow())) {
    // Another daemon has asked meanwhile: the stores are followed from here.
    return;
  }
  mCursor = aReply.mCache.mCursor;
  mSink.OnPage(aReply.mCache);
  mNotice.Take(aReply.mLoading);
}

Result<Json>
NewsFollower::Answer(const Json& aParams)
{
  const auto query = ReadNewsQuery(aParams);
  if (!query) {
    return query.error();
  }
  mAskedAt = MonotonicNow();
  SetDirect(true, *mAskedAt);
  return ToJson(NewsReply{ mSite.AnswerQuery(query.value().mImage),
                           mStores.PageAt(query.value().mCache),
                           mNotice.Loading(*mAskedAt) });
}

void
NewsFollower::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(std::string(kNewsMethod),
               [this](const Json& aParams) { return Answer(aParams); });
}

} // namespace bilberrytrail
