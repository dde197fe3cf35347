#include <bilberrytrail/entry/avoided_servers.h>

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Time for which a server that is not listed is remembered.
constexpr Duration kUnlistedKeepTime = 600s;
// Difference between the clocks of a server and of this daemon that is allowed
// for. Shorter than the time for which a server that leaves serves on.
constexpr std::uint64_t kClockDifferenceMs = 300;

} // namespace

void
AvoidedServers::Entry::OnListed(std::uint64_t aStartedAtMs, Instant aNow)
{
  if (mStartedAtMs.value_or(aStartedAtMs) != aStartedAtMs) {
    const auto hasSaid = [&](std::uint64_t aUnixMs) {
      return aUnixMs > 0 && aStartedAtMs <= aUnixMs + kClockDifferenceMs;
    };
    mIsLeaving = mIsLeaving && hasSaid(mLeavingSinceMs);
    mPausedUntil = hasSaid(mPausedAtMs) ? mPausedUntil : Instant();
  }
  mStartedAtMs = aStartedAtMs;
  mSeenAt = aNow;
}

bool
AvoidedServers::Contains(const ServerId& aServer, Instant aNow) const
{
  const auto it = mEntries.find(aServer);
  return it != mEntries.end() && it->second.IsAvoided(aNow);
}

std::vector<ServerId>
AvoidedServers::Some(std::size_t aMost, Instant aNow) const
{
  std::vector<ServerId> servers;
  for (const auto& [server, entry] : mEntries) {
    if (servers.size() == aMost) {
      break;
    }
    if (entry.IsAvoided(aNow)) {
      servers.push_back(server);
    }
  }
  return servers;
}

std::optional<Duration>
AvoidedServers::TimeUntilAny(std::span<const ServerRecord> aServers,
                             const ServiceId& aService,
                             Instant aNow) const
{
  if (mEntries.empty()) {
    return std::nullopt;
  }
  std::optional<Duration> least;
  for (const auto& it : aServers) {
    if (it.mService != aService || it.mIsLeaving || it.mIsEvacuated) {
      continue;
    }
    const auto entry = mEntries.find(it.mId);
    if (entry == mEntries.end() || !entry->second.IsAvoided(aNow)) {
      return std::nullopt;
    }
    if (!entry->second.mIsLeaving) {
      const auto left = entry->second.mPausedUntil - aNow;
      least = std::min(least.value_or(left), left);
    }
  }
  return least;
}

AvoidedServers::Entry&
AvoidedServers::EntryOf(const ServerId& aServer,
                        std::optional<std::uint64_t> aStartedAtMs,
                        Instant aNow)
{
  const auto [it, isNew] = mEntries.try_emplace(aServer);
  if (isNew) {
    it->second.mStartedAtMs = aStartedAtMs;
  }
  it->second.mSeenAt = aNow;
  return it->second;
}

void
AvoidedServers::AddLeaving(const ServerId& aServer,
                           std::optional<std::uint64_t> aStartedAtMs,
                           Instant aNow,
                           std::uint64_t aUnixMs)
{
  auto& entry = EntryOf(aServer, aStartedAtMs, aNow);
  if (!entry.mIsLeaving) {
    entry.mIsLeaving = true;
    entry.mLeavingSinceMs = aUnixMs;
    LogLine(LogEvent::ServerSaidLeaving, { { "server", aServer } });
  }
}

void
AvoidedServers::AddPause(const ServerId& aServer,
                         std::optional<std::uint64_t> aStartedAtMs,
                         Duration aTime,
                         Instant aNow,
                         std::uint64_t aUnixMs)
{
  auto& entry = EntryOf(aServer, aStartedAtMs, aNow);
  if (aNow >= entry.mPausedUntil) {
    LogLine(LogEvent::ServerPaused,
            { { "server", aServer }, { "for", aTime } });
  }
  entry.mPausedAtMs = aUnixMs;
  entry.mPausedUntil = std::max(entry.mPausedUntil, aNow + aTime);
}

void
AvoidedServers::Retain(std::span<const ServerRecord> aServers, Instant aNow)
{
  if (mEntries.empty()) {
    return;
  }
  for (const auto& it : aServers) {
    const auto entry = mEntries.find(it.mId);
    if (entry == mEntries.end()) {
      continue;
    }
    entry->second.OnListed(it.mStartedAtMs, aNow);
  }
  std::erase_if(mEntries, [&](const auto& aEntry) {
    const auto& entry = aEntry.second;
    return !entry.IsAvoided(aNow) ||
           (entry.mIsLeaving && aNow - entry.mSeenAt > kUnlistedKeepTime);
  });
}

} // namespace bilberrytrail
