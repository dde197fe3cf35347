#include "config_play.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

// What a play is judged by.

namespace bilberrytrail::soak {

namespace {

// What a server has seen of a version doesn't go back after this time.
constexpr Duration kNoReturnAfter = 250ms;
// At starved or suspended daemons.
constexpr Duration kNoReturnAfterSlow = 2s;
constexpr unsigned kSuccess = 200;
// A route that was added is served at least so often as others.
constexpr double kLeastServedShare = 0.25;
constexpr std::size_t kLeastServed = 20;

} // namespace

// Returns whether a request is handled as only versions allow that had been
// replaced for longer than the bound when it was sent.
bool
ConfigPlay::IsLate(const ConfigExchange& aExchange) const
{
  const auto first =
    mHistory.NewestAcknowledged(aExchange.mSentAt - kInForceWithin);
  const auto last = mHistory.NewestSent(aExchange.mAnsweredAt);
  return !mHistory.AnyAllows(
    first, last, aExchange.mRequest, aExchange.mHandling);
}

void
ConfigPlay::JudgeLate()
{
  for (const auto& it : mExchanges) {
    if (!it.mHandling.IsByConfig()) {
      continue;
    }
    const bool isInTouch = IsInTouch(it.mDaemon, it.mSentAt, it.mAnsweredAt);
    mJudged += isInTouch ? 1U : 0U;
    if (isInTouch && IsLate(it)) {
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
    if (!it.mHandling.mRanBy && it.mHandling.IsByConfig() && IsLate(it)) {
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
