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
  , mPeers(aLoop, mTable, mSelf, StableHash64(mSelf.mName.Text()))
  , mSiteFollower(aLoop, mFeed, mReader, mPeers, mTransport, mViews, mMetrics)
  , mStoreFollower(aLoop, mEvents, mViews, *this, mSelf.mEndpoint.mPort)
  , mNotifier(aLoop, mPeers, mTransport, mSelf.mName, [](const auto&) {})
  , mRelayFollower(aLoop,
                   mPeers,
                   mTransport,
                   mSiteFollower,
                   mStoreFollower,
                   mNotifier,
                   *this,
                   RelayChoice(mSelf),
                   mMetrics)
{
  mSiteFollower.AddMethods(mMethods);
  mRelayFollower.AddMethods(mMethods);
  mNotifier.AddMethods(mMethods);
  aNetwork.Add(mSelf.mEndpoint,
               { &mVm,
                 [this](const std::string& aPath, const std::string& aBody) {
                   return Serve(aPath, aBody);
                 },
                 [] { return std::size_t(0); } });
}

void
SimulatedNode::Start()
{
  mSiteFollower.Start();
  mStoreFollower.Start();
  mLoop.Spawn([this] { mRelayFollower.Run(); });
  mLoop.Spawn([this] { mPeers.Run(); });
}

Result<std::string>
SimulatedNode::Serve(const std::string& aPath, const std::string& aBody)
{
  if (aPath == kRpcPath) {
    return mMethods.Serve(aBody);
  }
  return Fail(ErrorCode::Refused, "no such path");
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
