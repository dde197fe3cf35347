#include "control_thread.h"

#include "site_status.h"

#include <future>

namespace bilberrytrail {

namespace {

// Longest time that a call from another daemon waits for the control thread.
constexpr Duration kControlTimeout = 500ms;

GossipSettings
MakeGossipSettings(const DaemonSettings& aSettings)
{
  GossipSettings settings;
  settings.mPeriod = aSettings.mGossipPeriod;
  return settings;
}

FollowerSettings
MakeFollowerSettings(const DaemonSettings& aSettings)
{
  FollowerSettings settings;
  settings.mPollInterval = aSettings.mHeadPoll;
  settings.mMaxStaleness = aSettings.mReleaseBound;
  return settings;
}

LeaseSettings
MakeLeaseSettings(const DaemonSettings& aSettings)
{
  LeaseSettings settings;
  settings.mLength = aSettings.mLeaseLength;
  settings.mRenewAfter = aSettings.mLeaseRenewal;
  settings.mMaxOrderDuration = aSettings.mOrderTimeout;
  return settings;
}

HttpLimits
MakeOperatorLimits(const DaemonSettings& aSettings)
{
  HttpLimits limits;
  limits.mHeaderBytes = aSettings.mHeaderBytes;
  limits.mBodyBytes = aSettings.mBodyBytes;
  return limits;
}

} // namespace

ControlThread::ControlThread(const DaemonSettings& aSettings,
                             const MemberRecord& aSelf,
                             PeerSeal& aSeal,
                             ControlViewHolder& aViews,
                             HomeService& aHomes,
                             const DaemonMetrics& aMetrics,
                             std::function<void()> aDrain)
  : mSettings(aSettings)
  , mHomes(aHomes)
  , mDrain(std::move(aDrain))
  , mThread(mLoop, aSeal, aSettings.mTable)
  , mState(aViews, aSelf.mId, aSelf.mZone, aSettings.mLeavingHold)
  , mMembers(mLoop, aSeal, mState, aSelf, MakeGossipSettings(aSettings))
  , mReleases(mThread, mState, mMembers, MakeFollowerSettings(aSettings))
  , mList(mThread, mState, mMembers, aSettings)
  , mMonitor(mThread, mState, aHomes)
  , mStores(mThread, mState, aHomes.Cache())
  , mShards(aSelf.mId,
            mThread,
            mState,
            aHomes,
            static_cast<std::uint32_t>(aSettings.mControlShards),
            MakeLeaseSettings(aSettings))
  , mSweeper(mThread, mShards, aSettings.mKeepOutcomeTime)
  , mOperators(aSettings,
               mThread,
               mState,
               mReleases,
               mList,
               aHomes,
               aMetrics,
               mDrain)
  , mOperatorServer(mLoop, MakeOperatorLimits(aSettings))
{
  mState.OnView([&aHomes](const ControlView& aView) { aHomes.OnView(aView); });
  mState.OnView([this](const ControlView& aView) { mMonitor.OnView(aView); });
  mState.OnView([this](const ControlView& aView) { mStores.OnView(aView); });
}

void
ControlThread::AddMethods(RpcMethods& aMethods)
{
  // The control thread answers quickly and never waits for a traffic thread;
  // it does not answer once its loop has stopped.
  const auto onControl = [this](auto aCall) {
    return [this, aCall](const Json& aParams) -> Result<Json> {
      const auto promise = std::make_shared<std::promise<Result<Json>>>();
      auto future = promise->get_future();
      mLoop.Post(
        [promise, aCall, aParams] { promise->set_value(aCall(aParams)); });
      if (future.wait_for(kControlTimeout) != std::future_status::ready) {
        return Fail(ErrorCode::Unavailable, "the control thread is stopping");
      }
      return future.get();
    };
  };
  aMethods.Add("release.heads", onControl([this](const Json&) -> Result<Json> {
                 return mReleases.HeadsForPeer();
               }));
  aMethods.Add("release.body", onControl([this](const Json& aParams) {
                 return mReleases.BodyForPeer(aParams);
               }));
  aMethods.Add("home.status", [this](const Json&) -> Result<Json> {
    return Json{ { "servers", DescribeHomedServers(*mState.View(), mHomes) } };
  });
  aMethods.Add("control.drain", [this](const Json&) -> Result<Json> {
    mDrain();
    return Json::object();
  });
  aMethods.Add("list.vms", onControl([this](const Json& aParams) {
                 return mList.ListForPeer(aParams);
               }));
  aMethods.Add("list.changes", onControl([this](const Json& aParams) {
                 return mList.TakeChanges(aParams);
               }));
  aMethods.Add("list.leaving", onControl([this](const Json& aParams) {
                 return mList.TakeLeaving(aParams);
               }));
  aMethods.Add("home.states", [this](const Json& aParams) {
    return mShards.StatesForPeer(aParams);
  });
  aMethods.Add("shard.states", [this](const Json& aParams) {
    return mShards.TakeStates(aParams);
  });
}

Result<void>
ControlThread::Start()
{
  Endpoint gossip = mSettings.mPeers;
  if (auto ok = mMembers.Start(gossip); !ok) {
    return ok;
  }
  if (auto port = mOperatorServer.Listen(mSettings.mOperators); !port) {
    return std::move(port).error();
  }
  mOperatorServer.Serve(mOperators);
  mReleases.Start();
  mList.Start();
  mShards.Start();
  mStores.Start();
  mSweeper.Start();
  return Ok();
}

void
ControlThread::Run()
{
  mLoop.Run();
}

void
ControlThread::Leave()
{
  mShards.Release();
  mState.SetDraining();
  mMembers.Leave();
}

void
ControlThread::Close()
{
  mState.SetClosing();
}

} // namespace bilberrytrail
