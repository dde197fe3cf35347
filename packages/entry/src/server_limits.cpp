#include <bilberrytrail/entry/server_limits.h>

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Time for which the end of a limit is passed on to other daemons.
constexpr Duration kEndKeepTime = 30s;
// Time for which the limit of a server that is not listed is kept.
constexpr Duration kUnlistedKeepTime = 60s;
// Lowest rate in requests per second: a server that gets no requests could not
// take its limit back.
constexpr double kMinRate = 0.1;

} // namespace

const ServerLimit*
ServerLimits::Find(const ServerId& aServer) const
{
  const auto it = mEntries.find(aServer);
  return it == mEntries.end() || it->second.mLimit.mPerSecond <= 0
           ? nullptr
           : &it->second.mLimit;
}

std::vector<LimitObservation>
ServerLimits::Recent(Instant aNow) const
{
  std::vector<LimitObservation> recent;
  for (const auto& [server, entry] : mEntries) {
    const auto& last = entry.mLast;
    if (last.mPerSecond > 0 || aNow - last.mAt < kEndKeepTime) {
      recent.push_back(last);
    }
  }
  std::ranges::sort(recent, std::ranges::greater(), &LimitObservation::mAt);
  recent.resize(std::min(recent.size(), kMaxRecent));
  return recent;
}

void
ServerLimits::Observe(const ServerId& aServer,
                      std::optional<double> aPerSecond,
                      Instant aSentAt,
                      Instant aNow)
{
  if (aPerSecond) {
    Apply({ aServer, std::max(*aPerSecond, kMinRate), aNow }, aNow);
    return;
  }
  const auto it = mEntries.find(aServer);
  if (it != mEntries.end() && it->second.mLast.mPerSecond > 0 &&
      aSentAt > it->second.mLast.mAt) {
    // What other daemons have been told since the request counts.
    Apply({ aServer, 0, aSentAt }, aNow);
  }
}

void
ServerLimits::Merge(std::span<const LimitObservation> aObservations,
                    Instant aNow)
{
  for (const auto& it : aObservations) {
    const auto known = mEntries.find(it.mServer);
    const bool isNews = known == mEntries.end()
                          ? it.mPerSecond > 0
                          : it.mAt > known->second.mLast.mAt;
    if (isNews) {
      Apply(it, aNow);
    }
  }
}

void
ServerLimits::Retain(std::span<const ServerRecord> aServers, Instant aNow)
{
  for (const auto& it : aServers) {
    const auto entry = mEntries.find(it.mId);
    if (entry == mEntries.end()) {
      continue;
    }
    auto& started = entry->second.mStartedAtMs;
    if (started.value_or(it.mStartedAtMs) == it.mStartedAtMs) {
      started = it.mStartedAtMs;
    } else {
      mEntries.erase(entry);
    }
  }
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLast.mAt > kUnlistedKeepTime &&
           std::ranges::find(aServers, aEntry.first, &ServerRecord::mId) ==
             aServers.end();
  });
}

void
ServerLimits::Apply(const LimitObservation& aObservation, Instant aNow)
{
  auto& entry = mEntries[aObservation.mServer];
  entry.mLast = aObservation;
  if (entry.mLimit.mPerSecond == aObservation.mPerSecond) {
    return;
  }
  if (entry.mLimit.mPerSecond <= 0) {
    entry.mLimit.mSince = aNow;
  }
  entry.mLimit.mPerSecond = aObservation.mPerSecond;
  LogLine(LogEvent::ServerLimitChanged,
          { { "server", aObservation.mServer },
            { "per_second", std::to_string(aObservation.mPerSecond) },
            { "cause", "named" } });
}

} // namespace bilberrytrail
