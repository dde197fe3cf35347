#include "control_thread.h"
#include "site_seal.h"
#include "traffic_thread.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/daemon/daemon.h>

#include <thread>

namespace bilberrytrail {

namespace {

// How often the queues' timers run.
constexpr Duration kQueueTick = 10ms;
// Time that other daemons and the balancer get to learn of a planned stop.
constexpr Duration kLeaveTime = 1s;
constexpr Duration kDrainCheck = 20ms;
// Longest wait for leases to be given back; behind it the next holder waits
// until they run out.
constexpr Duration kGiveBackTime = 4s;

// The id is new at each start, so that a restarted daemon is another member.
MemberRecord
MakeSelf(const DaemonSettings& aSettings)
{
  constexpr std::size_t kInstanceDigits = 8;
  MemberRecord self;
  self.mId = DaemonId(aSettings.mName.Text() + "~" +
                      RandomToken().substr(0, kInstanceDigits));
  self.mZone = aSettings.mZone;
  self.mEndpoint = aSettings.mPeers;
  return self;
}

} // namespace

class Daemon::Impl
{
public:
  explicit Impl(DaemonSettings aSettings);

  Result<void> Start();
  void Drain();
  void Stop();
  void Join();

private:
  void TickQueues();
  void DrainOnControl();
  void AwaitLeases();
  [[nodiscard]] std::size_t ActiveRequests() const;

  const DaemonSettings mSettings;
  MemberRecord mSelf;
  SiteSeal mSeal;
  ControlViewHolder mViews;
  HomeService mHomes;
  DaemonParts mParts;
  DaemonMetrics mMetrics;
  RpcMethods mMethods;
  ControlThread mControl;
  std::vector<std::unique_ptr<TrafficThread>> mTraffic;
  std::vector<std::thread> mThreads;
  bool mIsDraining = false;
};

Daemon::Impl::Impl(DaemonSettings aSettings)
  : mSettings(std::move(aSettings))
  , mSelf(MakeSelf(mSettings))
  , mSeal(mSettings.mSiteKey, mSelf.mId, mSettings.mMessageWindow)
  , mHomes(mSettings, mViews)
  , mParts(mSettings, mViews)
  , mMetrics(mSettings.mHistogramSeries)
  , mControl(mSettings, mSelf, mSeal, mViews, mHomes, mMetrics, [this] {
    Drain();
  })
{
  mControl.AddMethods(mMethods);
  mHomes.Cache().AddMethods(mMethods);
  mHomes.GetQuarantine().AddMethods(mMethods);
  mParts.mLimits.AddMethods(mMethods);
  mMethods.Add("home.estimate", [this](const Json& aParams) -> Result<Json> {
    const auto query = ReadEstimateQuery(aParams);
    if (!query) {
      return query.error();
    }
    return ToJson(mHomes.Estimate(query.value()));
  });
  for (std::uint64_t n = 0; n < mSettings.mTrafficThreads; ++n) {
    mTraffic.push_back(
      std::make_unique<TrafficThread>(mSettings,
                                      mSeal,
                                      mViews,
                                      mHomes,
                                      mParts,
                                      mMethods,
                                      mMetrics,
                                      StableHash64(mSelf.mId.Text()) + n));
  }
}

Result<void>
Daemon::Impl::Start()
{
  for (auto& traffic : mTraffic) {
    if (auto ok = traffic->Start(); !ok) {
      return ok;
    }
  }
  if (auto ok = mControl.Start(); !ok) {
    return ok;
  }
  mTraffic.front()->GetLoop().Spawn([this] { TickQueues(); });
  mTraffic.front()->StartBackground();
  mThreads.emplace_back([this] { mControl.Run(); });
  for (auto& traffic : mTraffic) {
    mThreads.emplace_back([it = traffic.get()] { it->Run(); });
  }
  LogLine(LogEvent::DaemonStarted,
          { { "daemon", mSelf.mId },
            { "callers", ToText(mSettings.mCallers) },
            { "peers", ToText(mSettings.mPeers) } });
  return Ok();
}

void
Daemon::Impl::TickQueues()
{
  Loop& loop = mTraffic.front()->GetLoop();
  while (loop.Sleep(kQueueTick)) {
    mHomes.Tick(MonotonicNow());
  }
}

void
Daemon::Impl::Drain()
{
  mControl.GetLoop().Spawn([this] { DrainOnControl(); });
}

void
Daemon::Impl::DrainOnControl()
{
  if (mIsDraining) {
    return;
  }
  mIsDraining = true;
  LogLine(LogEvent::DrainBegun, { { "running", ActiveRequests() } });
  mControl.Leave();
  (void)mControl.GetLoop().Sleep(kLeaveTime);
  mControl.Close();
  if (mViews.Load()->FindMember(mSelf.mId) == nullptr) {
    mHomes.DrainAll();
  }
  for (auto& traffic : mTraffic) {
    traffic->GetLoop().Post([it = traffic.get()] { it->StopAccepting(); });
  }
  AwaitLeases();
  const auto end = MonotonicNow() + mSettings.mDrainTime;
  while (ActiveRequests() > 0 && MonotonicNow() < end &&
         mControl.GetLoop().Sleep(kDrainCheck)) {
  }
  LogLine(LogEvent::DrainDone, { { "running", ActiveRequests() } });
  Stop();
}

void
Daemon::Impl::AwaitLeases()
{
  const auto end = MonotonicNow() + kGiveBackTime;
  while (mControl.IsReleasing() && MonotonicNow() < end &&
         mControl.GetLoop().Sleep(kDrainCheck)) {
  }
}

std::size_t
Daemon::Impl::ActiveRequests() const
{
  std::size_t n = 0;
  for (const auto& traffic : mTraffic) {
    n += traffic->ActiveRequests();
  }
  return n;
}

void
Daemon::Impl::Stop()
{
  for (auto& traffic : mTraffic) {
    traffic->GetLoop().Stop();
  }
  mControl.GetLoop().Stop();
}

void
Daemon::Impl::Join()
{
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

Daemon::Daemon(DaemonSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

Result<void>
Daemon::Start()
{
  return mImpl->Start();
}

void
Daemon::Drain()
{
  mImpl->Drain();
}

void
Daemon::Stop()
{
  mImpl->Stop();
}

void
Daemon::Join()
{
  mImpl->Join();
}

} // namespace bilberrytrail
