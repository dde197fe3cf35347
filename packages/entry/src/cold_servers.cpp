#include <bilberrytrail/entry/cold_servers.h>

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Connections broken off in a row after which a server may have ended: healthy
// servers break off single ones.
constexpr unsigned kBrokenToLose = 2;
// Time within which they count together.
constexpr Duration kBrokenTime = 1s;
// A server that answered within this time before a connection failed has not
// ended, as far as is known; nor has one that answers within kRestartTime after
// it, which is shorter than any restart.
constexpr Duration kAliveTime = 100ms;
constexpr Duration kRestartTime = 300ms;

void
LogCold(const ServerId& aServer, const ColdBound& aBound)
{
  LogLine(LogEvent::ServerLimitChanged,
          { { "server", aServer },
            { "per_second", std::to_string(aBound.mPerSecond) },
            { "cause", "cold" } });
}

} // namespace

const ColdBound*
ColdServers::BoundOf(const Entry& aEntry) const
{
  const auto it = mBounds.find(aEntry.mService);
  return it == mBounds.end() ? nullptr : &it->second;
}

const ColdBound*
ColdServers::Find(const ServerId& aServer, Instant aNow) const
{
  const auto it = mEntries.find(aServer);
  return it == mEntries.end() || !it->second.IsCold(aNow) ? nullptr
                                                          : BoundOf(it->second);
}

Instant
ColdServers::ColdSince(const ServerId& aServer) const
{
  const auto it = mEntries.find(aServer);
  return it == mEntries.end() ? Instant() : it->second.mSince;
}

std::vector<ColdObservation>
ColdServers::Recent(Instant aNow) const
{
  std::vector<ColdObservation> recent;
  for (const auto& [id, entry] : mEntries) {
    if (!entry.IsCold(aNow) || entry.mIsTold || BoundOf(entry) == nullptr) {
      continue;
    }
    recent.push_back(
      { id,
        entry.mIsLost ? std::nullopt : std::optional(entry.mUntil - aNow),
        aNow });
  }
  // Those that others may not know from the table come first.
  std::ranges::stable_sort(recent, {}, [](const ColdObservation& aSeen) {
    return aSeen.mLeft.has_value();
  });
  recent.resize(std::min(recent.size(), kMaxRecent));
  return recent;
}

std::size_t
ColdServers::Count(Instant aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mEntries, [&](const auto& aEntry) {
      return aEntry.second.IsCold(aNow) && BoundOf(aEntry.second) != nullptr;
    }));
}

void
ColdServers::SetServices(std::span<const BackendService> aServices)
{
  mBounds.clear();
  for (const auto& it : aServices) {
    if (it.mColdPerSecond > 0 && it.mColdTime > Duration(0)) {
      mBounds[it.mName] = { it.mColdPerSecond,
                            it.mColdPerSecond * mOver + mSlack,
                            it.mColdTime };
    }
  }
}

void
ColdServers::Extend(const ServerId& aServer,
                    Entry& aEntry,
                    Instant aUntil,
                    Instant aNow)
{
  if (aUntil <= aNow || aUntil <= aEntry.mUntil) {
    return;
  }
  const bool wasCold = aEntry.IsCold(aNow);
  aEntry.mUntil = aUntil;
  if (!wasCold) {
    aEntry.mSince = aNow;
    aEntry.mIsTold = false;
    LogCold(aServer, *BoundOf(aEntry));
  }
}

void
ColdServers::Update(std::span<const ServerRecord> aServers, Instant aNow)
{
  std::map<ServerId, Entry> entries;
  for (const auto& it : aServers) {
    const auto known = mEntries.find(it.mId);
    const bool isNew = known == mEntries.end();
    auto& entry = entries[it.mId];
    if (!isNew) {
      entry = std::move(known->second);
    }
    const bool hasStarted = isNew || entry.mStartedAtMs != it.mStartedAtMs;
    const bool isNews = hasStarted || entry.mListedLeft != it.mColdLeft;
    const bool wasEvacuated = entry.mIsEvacuated;
    entry.mService = it.mService;
    entry.mStartedAtMs = it.mStartedAtMs;
    entry.mListedLeft = it.mColdLeft;
    entry.mIsEvacuated = it.mIsEvacuated;
    const auto* bound = BoundOf(entry);
    if (bound == nullptr) {
      continue;
    }
    if (isNews) {
      Extend(it.mId, entry, aNow + it.mColdLeft, aNow);
    }
    if (hasStarted && it.mColdLeft > Duration(0)) {
      entry.mIsLost = false;
      entry.mBroken = 0;
      entry.mAnsweredAt.reset();
    }
    if (wasEvacuated || it.mIsEvacuated) {
      Extend(it.mId, entry, aNow + bound->mTime, aNow);
    }
  }
  mEntries = std::move(entries);
}

void
ColdServers::Lose(const ServerId& aServer, Entry& aEntry, Instant aNow)
{
  if (aEntry.mAnsweredAt && aNow < *aEntry.mAnsweredAt + kAliveTime) {
    return;
  }
  if (!aEntry.IsCold(aNow)) {
    aEntry.mSince = aNow;
    LogCold(aServer, *BoundOf(aEntry));
  }
  if (!aEntry.mIsLost) {
    aEntry.mLostAt = aNow;
  }
  aEntry.mIsTold = false;
  aEntry.mIsLost = true;
}

void
ColdServers::OnLost(const ServerId& aServer, bool aIsRefused, Instant aNow)
{
  const auto it = mEntries.find(aServer);
  if (it == mEntries.end() || BoundOf(it->second) == nullptr) {
    return;
  }
  auto& entry = it->second;
  if (aNow > entry.mBrokenAt + kBrokenTime) {
    entry.mBroken = 0;
  }
  entry.mBrokenAt = aNow;
  if (aIsRefused || ++entry.mBroken >= kBrokenToLose) {
    Lose(aServer, entry, aNow);
  }
}

void
ColdServers::OnAnswer(const ServerId& aServer, Instant aNow)
{
  const auto it = mEntries.find(aServer);
  if (it == mEntries.end()) {
    return;
  }
  auto& entry = it->second;
  entry.mBroken = 0;
  entry.mAnsweredAt = aNow;
  const auto* bound = BoundOf(entry);
  if (!entry.mIsLost || bound == nullptr) {
    return;
  }
  entry.mIsLost = false;
  if (aNow >= entry.mLostAt + kRestartTime) {
    entry.mUntil = std::max(entry.mUntil, aNow + bound->mTime);
  }
}

void
ColdServers::Merge(std::span<const ColdObservation> aObservations, Instant aNow)
{
  for (const auto& it : aObservations) {
    const auto known = mEntries.find(it.mServer);
    if (known == mEntries.end() || BoundOf(known->second) == nullptr) {
      continue;
    }
    auto& entry = known->second;
    const auto& bound = *BoundOf(entry);
    if (!it.mLeft && entry.mAnsweredAt &&
        aNow < *entry.mAnsweredAt + kAliveTime) {
      continue;
    }
    // Told by another daemon, a loss lasts no longer than a cold start, and
    // neither is passed on.
    const bool wasCold = entry.IsCold(aNow);
    Extend(it.mServer,
           entry,
           it.mAt + std::min(it.mLeft.value_or(bound.mTime), bound.mTime),
           aNow);
    entry.mIsTold = entry.mIsTold || (!wasCold && entry.IsCold(aNow));
  }
}

} // namespace bilberrytrail
