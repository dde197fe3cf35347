#include <bilberrytrail/entry/avoided_servers.h>

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

// Time for which a server that is not listed is remembered.
constexpr Duration kUnlistedKeepTime = 600s;

} // namespace

bool
AvoidedServers::Contains(const ServerId& aServer) const
{
  return mEntries.contains(aServer);
}

std::vector<ServerId>
AvoidedServers::Some(std::size_t aMost) const
{
  std::vector<ServerId> servers;
  for (const auto& [server, entry] : mEntries) {
    if (servers.size() == aMost) {
      break;
    }
    servers.push_back(server);
  }
  return servers;
}

void
AvoidedServers::AddLeaving(const ServerId& aServer,
                           std::optional<std::uint64_t> aStartedAtMs,
                           Instant aNow)
{
  const auto [it, isNew] = mEntries.try_emplace(aServer);
  it->second.mSeenAt = aNow;
  if (isNew) {
    it->second.mStartedAtMs = aStartedAtMs;
    LogLine(LogEvent::ServerSaidLeaving, { { "server", aServer } });
  }
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
    auto& started = entry->second.mStartedAtMs;
    if (started.value_or(it.mStartedAtMs) == it.mStartedAtMs) {
      started = it.mStartedAtMs;
      entry->second.mSeenAt = aNow;
    } else {
      mEntries.erase(entry);
    }
  }
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSeenAt > kUnlistedKeepTime;
  });
}

} // namespace bilberrytrail
