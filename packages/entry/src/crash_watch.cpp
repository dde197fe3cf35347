#include <bilberrytrail/entry/crash_watch.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// The connections of a process that ends are closed one after the other, its
// listening socket perhaps last.
constexpr Duration kCheckDelay = 20ms;
constexpr Duration kCheckTimeout = 300ms;
// Requests that become suspect at the death of one server.
constexpr std::ptrdiff_t kMaxSuspects = 8;

} // namespace

void
CrashWatch::OnBroken(const ServerRecord& aServer, BrokenSend aSend)
{
  const auto death = MakeDeathId(aServer.mId, aServer.mStartedAtMs);
  const auto [it, isNew] = mWaiting.try_emplace(death);
  it->second.mSends.push_back(std::move(aSend));
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
  auto waiting = std::move(mWaiting.extract(aDeath).mapped());
  if (!hasEnded) {
    return;
  }
  for (const auto& it : waiting.mSends) {
    mParts.ServerDied(aDeath, it.mParts, waiting.mBrokenAt, MonotonicNow());
  }
  ChargeRequests(aDeath, std::move(waiting));
}

void
CrashWatch::ChargeRequests(const DeathId& aDeath, Waiting aWaiting)
{
  auto& sends = aWaiting.mSends;
  std::ranges::sort(sends, std::ranges::greater(), &BrokenSend::mSentAt);
  const auto last = sends.begin() + std::min(std::ssize(sends), kMaxSuspects);
  for (auto it = sends.begin(); it != sends.end(); ++it) {
    if (it < last || mRequests.IsSuspect(it->mRequest)) {
      mRequests.ServerDied(aDeath,
                           std::span(&it->mRequest, 1),
                           aWaiting.mBrokenAt,
                           MonotonicNow());
    }
  }
}

} // namespace bilberrytrail
