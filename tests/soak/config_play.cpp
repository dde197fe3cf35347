#include "config_play.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace bilberrytrail::soak {

namespace {

constexpr std::size_t kClients = 12;
constexpr std::uint64_t kMostClientPause = 40;
constexpr Duration kFirstPause = 3s;
constexpr std::uint64_t kLeastVersionGap = 400;
constexpr std::uint64_t kMostVersionGap = 4500;
// Disturbances end at most so long after the play.
constexpr Duration kTailTime = 20s;
constexpr Duration kReadyTime = 30s;

constexpr PlanShape kPlan{ {}, 0ms, 20ms, 6s };
// Longest time between the beginnings of two disturbances: the shortest one of
// a play, and the longest.
constexpr std::uint64_t kLeastMostPause = 700;
constexpr std::uint64_t kMostMostPause = 5000;

// Kinds that leave a daemon and its ways as they are.
bool
IsHarmless(ActionKind aKind)
{
  return aKind == ActionKind::Reload || aKind == ActionKind::InvalidConfig ||
         aKind == ActionKind::TableForgets;
}

bool
IsForAll(ActionKind aKind)
{
  switch (aKind) {
    case ActionKind::KillAll:
    case ActionKind::LinksSilentOnce:
    case ActionKind::TableBusy:
    case ActionKind::TableMany:
    case ActionKind::TableSilent:
    case ActionKind::TableLosesAnswers:
    case ActionKind::TableRestored:
      return true;
    default:
      return false;
  }
}

SoakShape
SiteShape(const ConfigPlayShape& aShape)
{
  return { aShape.mDaemons, aShape.mZones, true, { "east", "west" } };
}

} // namespace

std::vector<ActionKind>
AllDisturbances()
{
  std::vector<ActionKind> kinds;
  for (const auto it : AllOf<ActionKind>()) {
    const bool isOther =
      it == ActionKind::ServerFull || it == ActionKind::ServerCutsStreams ||
      it == ActionKind::ServerLeaves || it == ActionKind::KeyChange ||
      it == ActionKind::NewWeights;
    if (!isOther) {
      kinds.push_back(it);
    }
  }
  return kinds;
}

ConfigPlay::ConfigPlay(std::uint64_t aSeed,
                       const std::string& aFolder,
                       const ConfigPlayShape& aShape)
  : mSeed(aSeed)
  , mFolder(aFolder)
  , mShape(aShape)
  , mSite(mLoop, aFolder, SiteShape(aShape))
{
  mSite.PutConfig(ConfigHistory::ToText(mHistory.Versions().front()));
}

bool
ConfigPlay::AwaitReady()
{
  const auto end = MonotonicNow() + kReadyTime;
  for (std::size_t n = 0; n < mSite.DaemonCount(); ++n) {
    while (!mSite.IsReady(n)) {
      if (MonotonicNow() >= end || !mLoop.Sleep(50ms)) {
        return false;
      }
    }
  }
  return true;
}

void
ConfigPlay::RunClient(std::size_t aNumber)
{
  Random random(mSeed * 1000 + aNumber);
  const auto below = [&](std::size_t aBound) {
    return static_cast<std::size_t>(random.Below(aBound));
  };
  while (!mIsOver) {
    ConfigExchange exchange;
    exchange.mId = "c" + std::to_string(mExchanges.size());
    exchange.mDaemon = below(mSite.DaemonCount());
    exchange.mStart = mSite.Starts(exchange.mDaemon);
    exchange.mRequest = { static_cast<ConfigRequest::Kind>(below(3)),
                          below(kExtraRoutes),
                          below(2) == 0 ? 0 : below(kKeys) };
    exchange.mSentAt = MonotonicNow();
    exchange.mAnsweredAt = Instant::max();
    const auto place = mExchanges.size();
    mExchanges.push_back(exchange);
    const auto answer =
      mSite.Send(exchange.mDaemon,
                 exchange.mId,
                 exchange.mRequest.Target(),
                 "key-" + std::to_string(exchange.mRequest.mKey));
    mExchanges[place].mAnsweredAt = MonotonicNow();
    mExchanges[place].mHandling.mStatus = answer ? answer->mStatus : 0;
    (void)mLoop.Sleep(
      std::chrono::milliseconds(random.Below(kMostClientPause)));
  }
  --mRunningClients;
}

void
ConfigPlay::RunOperator()
{
  Random random(mSeed * 1000 + 999);
  while (!mIsOver) {
    const auto gap =
      kLeastVersionGap + random.Below(kMostVersionGap - kLeastVersionGap);
    (void)mLoop.Sleep(std::chrono::milliseconds(gap));
    if (mIsOver || mSite.IsRestoring()) {
      continue;
    }
    mSite.PutConfig(ConfigHistory::ToText(mHistory.Add(random)));
    mHistory.Acknowledge(MonotonicNow());
  }
}

void
ConfigPlay::Disturb(const Action& aAction)
{
  const auto kind = aAction.mKind;
  const auto daemon = aAction.mTarget % mSite.DaemonCount();
  const auto place = mDisturbances.size();
  if (!IsHarmless(kind)) {
    mDisturbances.push_back(
      { kind,
        IsForAll(kind) ? std::nullopt : std::optional(daemon),
        MonotonicNow(),
        Instant::max() });
  }
  mSite.Do(aAction);
  if (!IsHarmless(kind)) {
    mDisturbances[place].mEnd = MonotonicNow();
  }
}

void
ConfigPlay::RunPlan()
{
  const auto all = AllDisturbances();
  auto plan = kPlan;
  plan.mKinds = mShape.mKinds.empty() ? all : mShape.mKinds;
  plan.mMostPause = std::chrono::milliseconds(
    kLeastMostPause + Random(mSeed).Below(kMostMostPause - kLeastMostPause));
  std::size_t running = 0;
  const auto begin = MonotonicNow();
  for (const auto& action : MakePlan(mSeed, mShape.mLength, plan)) {
    (void)mLoop.Sleep(begin + action.mAt - MonotonicNow());
    ++running;
    mLoop.Spawn([&, action] {
      Disturb(action);
      --running;
    });
  }
  // What a disturbance leaves behind shows only after its end.
  const auto end = MonotonicNow() + kTailTime;
  while (running > 0 && MonotonicNow() < end) {
    (void)mLoop.Sleep(20ms);
  }
  (void)mLoop.Sleep(kStableTime + kInForceWithin);
}

std::vector<std::string>
ConfigPlay::Run()
{
  mLoop.Spawn([&] { mSite.WriteRows(); });
  mLoop.Spawn([&] {
    if (AwaitReady()) {
      (void)mLoop.Sleep(kFirstPause);
      mBegin = MonotonicNow();
      for (std::size_t n = 0; n < kClients; ++n) {
        ++mRunningClients;
        mLoop.Spawn([this, n] { RunClient(n); });
      }
      mLoop.Spawn([this] { RunOperator(); });
      RunPlan();
      mIsOver = true;
      while (mRunningClients > 0 && mLoop.Sleep(20ms)) {
      }
    } else {
      mFaults.emplace_back("not all daemons were ready");
    }
    mSite.Stop();
    mLoop.Stop();
  });
  mLoop.Run();
  NoteRuns();
  NoteLateness();
  JudgeLate();
  JudgeRefusals();
  JudgeRegress();
  JudgeServed();
  JudgeLogs();
  return mFaults;
}

void
ConfigPlay::NoteRuns()
{
  for (auto& it : mExchanges) {
    it.mHandling.mRanBy = mSite.RanBy(it.mId);
  }
}

bool
ConfigPlay::IsInTouch(std::size_t aDaemon, Instant aFrom, Instant aTo) const
{
  const auto begin = aFrom - kStableTime;
  return begin >= mBegin - kFirstPause &&
         std::ranges::none_of(mDisturbances, [&](const Disturbance& aOne) {
           const bool isHere = !aOne.mDaemon || *aOne.mDaemon == aDaemon;
           return isHere && aOne.mBegin <= aTo && aOne.mEnd >= begin;
         });
}

std::string
ConfigPlay::Summary() const
{
  std::map<unsigned, int> statuses;
  for (const auto& it : mExchanges) {
    ++statuses[it.mHandling.mStatus];
  }
  std::ostringstream text;
  text << "seed " << mSeed << ", " << mShape.mZones << " zones, "
       << (mShape.mKinds.empty() ? "all kinds" : ToName(mShape.mKinds.front()))
       << ", " << mHistory.Versions().size() << " versions, "
       << mDisturbances.size() << " disturbances, " << mExchanges.size()
       << " requests, " << mJudged << " judged; by status";
  for (const auto& [status, count] : statuses) {
    text << ' ' << status << ':' << count;
  }
  text << "; latest refusal " << ToMillis(mLatestRefusal) << " ms, run "
       << ToMillis(mLatestRun) << " ms; by fault";
  std::map<std::string, int> faults;
  for (const auto& it : mFaults) {
    ++faults[it.substr(0, it.find(':'))];
  }
  for (const auto& [fault, count] : faults) {
    text << ' ' << fault << ':' << count;
  }
  return text.str();
}

} // namespace bilberrytrail::soak
