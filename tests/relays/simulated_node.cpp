#include "simulated_node.h"

#include "peer_call.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail::relays {

namespace {

constexpr std::size_t kMaxSeries = 16;

} // namespace

SimulatedNode::SimulatedNode(Loop& aLoop,
                             SimulatedSite& aSite,
                             SimulatedNetwork& aNetwork,
                             PeerAddress aSelf,
                             double aProcessorShare)
  : mVm(aLoop, aProcessorShare, aSelf.mLinkMbps)
  , mFeed(aLoop, aSite, mVm)
  , mLoop(aLoop)
  , mSelf(std::move(aSelf))
  , mEvents(aLoop, aSite, mVm)
  , mTable(aSite)
  , mReader(aSite)
  , mTransport(aNetwork, mSelf.mEndpoint)
  , mTimes(kMaxSeries)
  , mCounts(kMaxSeries)
  , mMetrics(mTimes, mCounts)
  , mState(aLoop, mReader, mViews, mMetrics)
  , mPeers(aLoop, mTable, mSelf, StableHash64(mSelf.mName.Text()))
  , mNotifier(aLoop, mPeers, mTransport, mSelf.mName, [](const auto&) {})
  , mPeerReader(aLoop, mTransport, mState, mNotifier)
  , mTableFollower(aLoop, mFeed, mPeers, mPeerReader, mState)
  , mSiteServer(aLoop, mState, mNotifier, mMetrics)
  , mStoreFollower(aLoop, mEvents, mViews, *this, mSelf.mEndpoint.mPort)
  , mCacheFollower(aLoop, mTransport, mStoreFollower)
  , mCacheServer(mStoreFollower, mMetrics, mSelf.mLinkMbps)
  , mWatch(aLoop, mMetrics, "control")
  , mRelayFollower(aLoop,
                   mPeers,
                   mTableFollower,
                   mPeerReader,
                   mSiteServer,
                   mCacheFollower,
                   mWatch,
                   RelayChoice(mSelf))
{
  mRelayFollower.AddMethods(mMethods);
  mNotifier.AddMethods(mMethods);
  aNetwork.Add(mSelf.mEndpoint,
               { &mVm,
                 [this](const std::string& aPath, const std::string& aBody) {
                   return Serve(aPath, aBody);
                 },
                 [this] { return BuiltBytes(); } });
}

void
SimulatedNode::Start()
{
  mState.Start();
  mTableFollower.Start();
  mCacheFollower.Start();
  mLoop.Spawn([this] { mRelayFollower.Run(); });
  mLoop.Spawn([this] { mPeers.Run(); });
}

Result<std::string>
SimulatedNode::Serve(const std::string& aPath, const std::string& aBody)
{
  if (aPath == kRpcPath) {
    return mMethods.Serve(aBody);
  }
  if (aPath == kRowsPath) {
    return mSiteServer.AnswerRows(aBody);
  }
  if (aPath == kCachePath) {
    return mCacheServer.Answer(aBody);
  }
  return Fail(ErrorCode::Refused, "no such path");
}

std::size_t
SimulatedNode::BuiltBytes() const
{
  std::size_t bytes = 0;
  for (const auto& it : mCounts.Snapshot()) {
    bytes += it.mCounter == Counter::RelayBuiltBytes ? it.mValue : 0;
  }
  return bytes;
}

std::uint64_t
SimulatedNode::Config() const
{
  const auto view = mViews.Load();
  return view == nullptr || view->mConfig == nullptr ? 0
                                                     : view->mConfig->mVersion;
}

bool
SimulatedNode::IsReady() const
{
  const auto view = mViews.Load();
  return Config() > 0 && view->mHasReadServers;
}

bool
SimulatedNode::FollowsStores() const
{
  return mEvents.HasCalledWithin(100ms);
}

} // namespace bilberrytrail::relays
