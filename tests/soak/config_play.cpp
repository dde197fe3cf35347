#include "config_play.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace bilberrytrail::soak {

namespace {

// The platform's bounds: a configuration is in force within the first time at a
// daemon that was undisturbed for the second one, and what a server has seen of
// it doesn't go back after the third.
constexpr Duration kInForceWithin = 2s;
constexpr Duration kStableTime = 3s;
constexpr Duration kNoReturnAfter = 250ms;
// At starved or suspended daemons.
constexpr Duration kNoReturnAfterSlow = 2s;

constexpr std::size_t kClients = 12;
constexpr std::uint64_t kMostClientPause = 40;
constexpr Duration kFirstPause = 3s;
constexpr std::uint64_t kLeastVersionGap = 400;
constexpr std::uint64_t kMostVersionGap = 4500;
// Disturbances end at most so long after the play.
constexpr Duration kTailTime = 20s;
constexpr Duration kReadyTime = 30s;
constexpr unsigned kSuccess = 200;
// A route that was added is served at least so often as others.
constexpr double kLeastServedShare = 0.25;
constexpr std::size_t kLeastServed = 20;

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

// A request is handled as only an older version allows.
void
ConfigPlay::JudgeLate()
{
  for (const auto& it : mExchanges) {
    if (!it.mHandling.IsByConfig() ||
        !IsInTouch(it.mDaemon, it.mSentAt, it.mAnsweredAt)) {
      continue;
    }
    ++mJudged;
    const auto first = mHistory.NewestAcknowledged(it.mSentAt - kInForceWithin);
    const auto last = mHistory.NewestSent(it.mAnsweredAt);
    if (!mHistory.AnyAllows(first, last, it.mRequest, it.mHandling)) {
      Report("late", it);
    }
  }
}

// A daemon refuses what it lacks, whatever has disturbed it: one that can't
// know answers that it doesn't.
void
ConfigPlay::JudgeRefusals()
{
  for (const auto& it : mExchanges) {
    if (it.mHandling.mRanBy || !it.mHandling.IsByConfig()) {
      continue;
    }
    const auto first = mHistory.NewestAcknowledged(it.mSentAt - kInForceWithin);
    const auto last = mHistory.NewestSent(it.mAnsweredAt);
    if (!mHistory.AnyAllows(first, last, it.mRequest, it.mHandling)) {
      Report("refused", it);
    }
  }
}

// Notes for how long requests were handled as an older version allows, whatever
// had disturbed the daemon.
void
ConfigPlay::NoteLateness()
{
  for (const auto& it : mExchanges) {
    const auto& handling = it.mHandling;
    const auto last = mHistory.NewestSent(it.mAnsweredAt);
    auto newest = last;
    while (newest > 0 && !mHistory.Allows(newest, it.mRequest, handling)) {
      --newest;
    }
    if (!handling.IsByConfig() || newest == last) {
      continue;
    }
    const auto forbiddenAt = mHistory.Versions()[newest + 1].mAcknowledgedAt;
    auto& longest = handling.mRanBy ? mLatestRun : mLatestRefusal;
    longest = std::max(longest, it.mSentAt - forbiddenAt);
  }
}

// A daemon goes back: what one of its requests showed of a version is undone
// for a later one, in the same process.
void
ConfigPlay::JudgeRegress()
{
  std::map<std::pair<std::size_t, int>, std::vector<const ConfigExchange*>>
    byProcess;
  for (const auto& it : mExchanges) {
    if (it.mHandling.IsByConfig() && it.mAnsweredAt != Instant::max()) {
      byProcess[{ it.mDaemon, it.mStart }].push_back(&it);
    }
  }
  for (auto& [process, exchanges] : byProcess) {
    std::ranges::sort(exchanges, {}, &ConfigExchange::mSentAt);
    // The oldest version that allows what was seen, and when that was answered.
    std::vector<std::pair<Instant, std::size_t>> seen;
    for (const auto* it : exchanges) {
      const bool isSlow = !IsInTouch(it->mDaemon, it->mSentAt, it->mAnsweredAt);
      const auto slack = isSlow ? kNoReturnAfterSlow : kNoReturnAfter;
      std::size_t least = 0;
      for (const auto& [at, version] : seen) {
        if (at + slack < it->mSentAt) {
          least = std::max(least, version);
        }
      }
      const auto last = mHistory.NewestSent(it->mAnsweredAt);
      if (!mHistory.AnyAllows(least, last, it->mRequest, it->mHandling)) {
        Report("older", *it);
        continue;
      }
      auto oldest = least;
      while (!mHistory.Allows(oldest, it->mRequest, it->mHandling)) {
        ++oldest;
      }
      if (oldest > least) {
        seen.emplace_back(it->mAnsweredAt, oldest);
      }
    }
  }
}

// Routes and keys that were added are served like those of the beginning.
void
ConfigPlay::JudgeServed()
{
  std::size_t added = 0;
  std::size_t addedServed = 0;
  std::size_t first = 0;
  std::size_t firstServed = 0;
  for (const auto& it : mExchanges) {
    const auto from = mHistory.NewestAcknowledged(it.mSentAt - kInForceWithin);
    const auto last = mHistory.NewestSent(it.mAnsweredAt);
    // Some run is allowed by all versions that may be in force.
    const auto allowsRun = [&](std::size_t aVersion) {
      return !mHistory.Allows(aVersion, it.mRequest, { 401, {} }) &&
             !mHistory.Allows(aVersion, it.mRequest, { 404, {} });
    };
    bool isDue = IsInTouch(it.mDaemon, it.mSentAt, it.mAnsweredAt);
    for (auto n = from; isDue && n <= last; ++n) {
      isDue = allowsRun(n);
    }
    if (!isDue) {
      continue;
    }
    const bool isAdded =
      it.mRequest.mKind == ConfigRequest::Kind::Extra || it.mRequest.mKey > 0;
    const bool isServed = it.mHandling.mStatus == kSuccess;
    ++(isAdded ? added : first);
    (isAdded ? addedServed : firstServed) += isServed ? 1U : 0U;
  }
  const auto share = [](std::size_t aPart, std::size_t aAll) {
    return aAll == 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aAll);
  };
  if (added >= kLeastServed &&
      share(addedServed, added) <
        kLeastServedShare * share(firstServed, first)) {
    mFaults.push_back(
      "added routes and keys are served " + std::to_string(addedServed) +
      " of " + std::to_string(added) + " times, others " +
      std::to_string(firstServed) + " of " + std::to_string(first));
  }
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

void
ConfigPlay::Report(const char* aWhat, const ConfigExchange& aExchange)
{
  const auto since = [&](Instant aAt) {
    return aAt == Instant::max() ? std::string("-")
                                 : std::to_string(static_cast<std::int64_t>(
                                     ToMillis(aAt - mBegin)));
  };
  std::ostringstream text;
  text << aWhat << ": " << aExchange.mId << ' ' << aExchange.mRequest.Target()
       << " key-" << aExchange.mRequest.mKey << " at d" << aExchange.mDaemon
       << " sent " << since(aExchange.mSentAt) << " answered "
       << since(aExchange.mAnsweredAt) << " status "
       << aExchange.mHandling.mStatus << " run by "
       << aExchange.mHandling.mRanBy.value_or("none") << "\n  versions";
  const auto newest = mHistory.NewestSent(aExchange.mAnsweredAt);
  for (auto n = newest >= 3 ? newest - 3 : 0; n <= newest; ++n) {
    const auto& version = mHistory.Versions()[n];
    text << ' ' << version.mNumber << '@' << since(version.mAcknowledgedAt)
         << (mHistory.Allows(n, aExchange.mRequest, aExchange.mHandling)
               ? " allows"
               : " forbids");
  }
  text << "\n  disturbed";
  for (const auto& it : mDisturbances) {
    if ((!it.mDaemon || *it.mDaemon == aExchange.mDaemon) &&
        it.mBegin <= aExchange.mAnsweredAt &&
        it.mEnd >= aExchange.mSentAt - 10s) {
      text << ' ' << ToName(it.mKind) << ' ' << since(it.mBegin) << ".."
           << since(it.mEnd);
    }
  }
  text << "\n  " << LogOf(aExchange);
  mFaults.push_back(text.str());
}

std::string
ConfigPlay::LogOf(const ConfigExchange& aExchange) const
{
  const auto file = mFolder + "/d" + std::to_string(aExchange.mDaemon) + "-" +
                    std::to_string(aExchange.mStart) + ".log";
  std::ifstream log(file);
  const auto mark = "request=" + aExchange.mId + " ";
  std::string found;
  for (std::string line; std::getline(log, line);) {
    if (line.find(mark) != std::string::npos) {
      found += line + "\n  ";
    }
  }
  return found;
}

// Each refusal by the configuration, and each run, tells what it rests on, and
// the evidence of a refusal is never older than the bound.
void
ConfigPlay::JudgeLogs()
{
  if (std::getenv("BILBERRYTRAIL_SOAK_DAEMON") != nullptr) {
    return;
  }
  const auto fieldOf = [](const std::string& aLine, const std::string& aName) {
    const auto at = aLine.find(" " + aName + "=");
    if (at == std::string::npos) {
      return std::string();
    }
    const auto begin = at + aName.size() + 2;
    return aLine.substr(begin, aLine.find(' ', begin) - begin);
  };
  for (const auto& file : std::filesystem::directory_iterator(mFolder)) {
    std::ifstream log(file.path());
    for (std::string line; std::getline(log, line);) {
      const auto reason = fieldOf(line, "reason");
      const bool isRefusal = reason == "unauthorized" || reason == "no_route";
      const bool isRun = line.find(" name=request_done ") != std::string::npos;
      if (!isRefusal && !isRun) {
        continue;
      }
      const auto evidence = fieldOf(line, "evidence");
      const bool isTold = !evidence.empty() && evidence != "none" &&
                          !fieldOf(line, "way").empty() &&
                          !fieldOf(line, "config").empty();
      if (!isTold) {
        mFaults.push_back("no evidence is told: " + line);
      } else if (isRefusal && std::stod(evidence) > ToMillis(kInForceWithin)) {
        mFaults.push_back("a refusal rests on old evidence: " + line);
      }
    }
  }
}

} // namespace bilberrytrail::soak
