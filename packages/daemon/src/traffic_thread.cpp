#include "traffic_thread.h"

#include "claim_table.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/orders/claim_sharing.h>

namespace bilberrytrail {

namespace {

// How often answers of peers are checked against the membership.
constexpr Duration kPeerWatchPeriod = 100ms;
// How often the quarantine's records go to one other daemon.
constexpr Duration kQuarantineRepeat = 2s;

HttpLimits
MakeLimits(const DaemonSettings& aSettings)
{
  HttpLimits limits;
  limits.mHeaderBytes = aSettings.mHeaderBytes;
  limits.mBodyBytes = aSettings.mBodyBytes;
  limits.mReadTime = aSettings.mReadTime;
  limits.mIdleTime = aSettings.mIdleTime;
  return limits;
}

// Requests between daemons carry the caller's body and some fields more.
HttpLimits
MakePeerLimits(const DaemonSettings& aSettings)
{
  constexpr std::size_t kEnvelopeFactor = 4;
  HttpLimits limits = MakeLimits(aSettings);
  limits.mBodyBytes *= kEnvelopeFactor;
  return limits;
}

} // namespace

TrafficThread::TrafficThread(const DaemonSettings& aSettings,
                             PeerSeal& aSeal,
                             ControlViewHolder& aViews,
                             HomeService& aHomes,
                             DaemonParts& aParts,
                             const RpcMethods& aMethods,
                             DaemonMetrics& aMetrics,
                             std::uint64_t aSeed)
  : mSettings(aSettings)
  , mViews(aViews)
  , mHomes(aHomes)
  , mParts(aParts)
  , mSeed(aSeed)
  , mThread(mLoop, aSeal, aSettings.mTable)
  , mMethods(aMethods)
  , mCallers(mThread, aSettings, aViews, aHomes, aParts, aMetrics, aSeed)
  , mPeers(mThread, aSeal, mMethods, aHomes)
  , mCallerServer(mLoop, MakeLimits(aSettings))
  , mPeerServer(mLoop, MakePeerLimits(aSettings))
{
  if (aSettings.mClaimHomes > 0) {
    mThread.SetClaimTable(
      MakeClaimTable(mThread,
                     aViews,
                     mParts.mClaims,
                     static_cast<std::uint32_t>(aSettings.mClaimHomes)));
  }
  mMethods.Add(std::string(kClaimWriteMethod), [this](const Json& aParams) {
    return ServeClaimWrite(mLoop, mParts.mClaims, aParams);
  });
}

std::size_t
TrafficThread::ActiveRequests() const noexcept
{
  return mCallerServer.ActiveRequests() + mPeerServer.ActiveRequests();
}

Result<void>
TrafficThread::Start()
{
  if (auto port = mCallerServer.Listen(mSettings.mCallers, true); !port) {
    return std::move(port).error();
  }
  if (auto port = mPeerServer.Listen(mSettings.mPeers, true); !port) {
    return std::move(port).error();
  }
  mCallerServer.Serve(mCallers);
  mPeerServer.Serve(mPeers);
  mLoop.Spawn([this] { WatchPeers(); });
  return Ok();
}

void
TrafficThread::WatchPeers()
{
  while (mLoop.Sleep(kPeerWatchPeriod)) {
    const auto view = mViews.Load();
    mThread.Peers().CutOver(*view);
    mThread.Runs().Tick(mLoop);
    mPeers.KeepAlive();
    const auto homes = ClaimHomeCount(
      view->mHomes.size(), static_cast<std::uint32_t>(mSettings.mClaimHomes));
    mParts.mClaims.SetInterval(MaxBatchInterval(
      homes, mSettings.mClaimTransactions, mSettings.mClaimBatchTime));
  }
}

void
TrafficThread::Run()
{
  mLoop.Run();
}

void
TrafficThread::StartBackground()
{
  mLoop.Spawn([this] { mParts.mClaims.Run(mLoop, mThread.Table()); });
  mLoop.Spawn([this] { mParts.mLimits.Run(mThread); });
  mLoop.Spawn([this] {
    Random random(mSeed);
    while (mLoop.Sleep(kQuarantineRepeat)) {
      mHomes.GetQuarantine().SendToOne(mThread, random.Next());
    }
  });
}

void
TrafficThread::StopAccepting()
{
  mCallerServer.StopAccepting();
}

} // namespace bilberrytrail
