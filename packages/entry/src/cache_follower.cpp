#include "cache_follower.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

// Time between two queries; it bounds the delay of changes, and how old the
// relay's word of a store is.
constexpr Duration kQueryPeriod = 300ms;
constexpr AnswerLimits kLimits{ 1s, 1s, 5s };

} // namespace

CacheFollower::CacheFollower(Loop& aLoop,
                             PeerTransport& aTransport,
                             StoreFollower& aStores)
  : mLoop(aLoop)
  , mTransport(aTransport)
  , mStores(aStores)
{
}

void
CacheFollower::Start()
{
  mStores.Start();
  mLoop.Spawn([this] { Run(); });
}

void
CacheFollower::SetDirect(bool aIsDirect)
{
  if (mWantsDirect != aIsDirect) {
    mWantsDirect = aIsDirect;
    mLoop.Post([this, aIsDirect] { mStores.SetDirect(aIsDirect); });
  }
}

void
CacheFollower::SetKept(bool aIsKept)
{
  if (mWantsKept != aIsKept) {
    mWantsKept = aIsKept;
    mLoop.Post([this, aIsKept] { mStores.SetKept(aIsKept); });
  }
}

void
CacheFollower::SetRelay(std::optional<Endpoint> aRelay)
{
  mLoop.Post([this, relay = std::move(aRelay)] { mRelay = relay; });
}

void
CacheFollower::Run()
{
  while (mLoop.Sleep(kQueryPeriod)) {
    while (mRelay && !mStores.IsDirect() && QueryRelay(Endpoint(*mRelay))) {
    }
  }
}

bool
CacheFollower::QueryRelay(const Endpoint& aRelay)
{
  const auto sentAt = BootNow();
  const auto reply = Call(aRelay);
  if (!reply || reply.value().mPage.empty()) {
    return false;
  }
  auto page = DecodeCachePage(reply.value().mPage);
  if (!page) {
    LogLine(
      LogEvent::CachePageUnreadable,
      { { "daemon", ToText(aRelay) }, { "reason", page.error().mMessage } });
    return false;
  }
  if (mStores.IsDirect()) {
    return false;
  }
  mCursor = page.value().mCursor;
  mCursorOf = aRelay;
  const bool hasMore = page.value().mHasMore;
  mStores.OnRelayReply(std::move(page).value(),
                       reply.value().mResets,
                       reply.value().mSince,
                       sentAt);
  return hasMore && !mLoop.IsStopping();
}

Result<CacheReply>
CacheFollower::Call(const Endpoint& aRelay)
{
  CacheQuery query;
  if (mCursorOf == aRelay) {
    query.mCursor = mCursor;
  } else {
    query.mPositions = mStores.Positions();
  }
  const auto reply =
    mTransport.Call(aRelay, kCachePath, EncodeCacheQuery(query), kLimits);
  if (!reply) {
    // The relay may have restarted.
    mCursorOf.reset();
    return reply.error();
  }
  return DecodeCacheReply(reply.value());
}

} // namespace bilberrytrail
