#include <bilberrytrail/entry/crash_watch.h>

namespace bilberrytrail {

namespace {

// The connections of a process that ends are closed one after the other, its
// listening socket perhaps last.
constexpr Duration kCheckDelay = 20ms;
constexpr Duration kCheckTimeout = 300ms;

} // namespace

void
CrashWatch::OnBroken(const ServerRecord& aServer, std::vector<PartKey> aParts)
{
  const auto death = MakeDeathId(aServer.mId, aServer.mStartedAtMs);
  const auto [it, isNew] = mWaiting.try_emplace(death);
  it->second.mPrompts.push_back(std::move(aParts));
  if (isNew) {
    it->second.mBrokenAt = MonotonicNow();
    mLoop.Spawn(
      [this, death, endpoint = aServer.mEndpoint] { Check(death, endpoint); });
  }
}

bool
CrashWatch::HasEnded(const Endpoint& aEndpoint)
{
  return mLoop.Sleep(kCheckDelay) &&
         mBackend.IsRefusing(aEndpoint, kCheckTimeout);
}

void
CrashWatch::Check(const DeathId& aDeath, const Endpoint& aEndpoint)
{
  const bool hasEnded = HasEnded(aEndpoint);
  const auto waiting = std::move(mWaiting.extract(aDeath).mapped());
  if (!hasEnded) {
    return;
  }
  for (const auto& it : waiting.mPrompts) {
    mParts.ServerDied(aDeath, it, waiting.mBrokenAt, MonotonicNow());
  }
}

} // namespace bilberrytrail
