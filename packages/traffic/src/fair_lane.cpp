#include "fair_lane.h"

#include <algorithm>
#include <cmath>

namespace bilberrytrail {
namespace {

// Times over which arrivals are averaged. The higher average is used, since a
// surge shows in the short one first.
constexpr std::array<double, 2> kAveragingTimesMs{ 1000, 5000 };
// Time without arrivals after which an account's rate is dropped.
constexpr Duration kArrivalsRetention = 20s;
// Minimum time over which a rate is computed.
constexpr Duration kMinObservationTime = 500ms;

} // namespace

Instant
LatestStart(const QueueEntry& aEntry, double aMargin) noexcept
{
  if (aEntry.mDeadline == Instant::max()) {
    return Instant::max();
  }
  return aEntry.mDeadline - std::chrono::duration_cast<Duration>(
                              aEntry.mService * (1.0 + aMargin));
}

std::size_t
FairLane::CountOf(const AccountId& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() ? 0 : it->second.mEntries.size();
}

const AccountId&
FairLane::LargestAccount() const
{
  return std::max_element(mAccounts.begin(),
                          mAccounts.end(),
                          [](const auto& aLeft, const auto& aRight) {
                            return aLeft.second.mEntries.size() <
                                   aRight.second.mEntries.size();
                          })
    ->first;
}

Duration
FairLane::WorkAhead(const AccountId& aAccount,
                    Duration aWait,
                    Instant aNow) const
{
  const auto it = mAccounts.find(aAccount);
  const auto own = it == mAccounts.end() ? Duration() : it->second.mService;
  const double tag = StartTagOf(aAccount);
  Duration work = own;
  for (const auto& [id, account] : mAccounts) {
    if (id != aAccount) {
      work += std::min(account.mService, WorkBefore(account, tag, own));
    }
  }
  for (const auto& [id, arrivals] : mArrivals) {
    const auto at = mAccounts.find(id);
    const auto waits = at == mAccounts.end() ? Duration() : at->second.mService;
    const auto share = at == mAccounts.end() ? own + MeanService()
                                             : WorkBefore(at->second, tag, own);
    if (id != aAccount && share > waits) {
      const auto coming =
        FromMillis(WorkPerMs(arrivals, aNow) * ToMillis(aWait));
      work += std::min(coming, share - waits);
    }
  }
  return work;
}

Duration
FairLane::ArrivingWork(Duration aWait, Instant aNow) const
{
  double workPerMs = 0;
  for (const auto& [id, arrivals] : mArrivals) {
    workPerMs += WorkPerMs(arrivals, aNow);
  }
  return FromMillis(workPerMs * ToMillis(aWait));
}

Duration
FairLane::WorkBefore(const Account& aAccount, double aTag, Duration aOwn)
{
  const auto& head = aAccount.mEntries.front();
  if (aAccount.mStartTag > aTag) {
    return aOwn;
  }
  // An account with a lower tag first starts the difference in tokens.
  const double lead = (aTag - aAccount.mStartTag) / head.mCostTokens;
  return aOwn + FromMillis(ToMillis(head.mService) * (1 + lead));
}

double
FairLane::WorkPerMs(const Arrivals& aArrivals, Instant aNow)
{
  const auto sinceLast = ToMillis(aNow - aArrivals.mLast);
  const auto observed =
    ToMillis(std::max(aNow - aArrivals.mFirst, kMinObservationTime));
  double most = 0;
  for (std::size_t n = 0; n < kAveragingTimesMs.size(); ++n) {
    const double averagingTime = kAveragingTimesMs[n];
    most =
      std::max(most,
               aArrivals.mWork[n] * std::exp(-sinceLast / averagingTime) /
                 averagingTime / (1 - std::exp(-observed / averagingTime)));
  }
  return most;
}

void
FairLane::RecordArrival(const QueueEntry& aEntry, Instant aNow)
{
  std::erase_if(mArrivals, [&](const auto& aOther) {
    return aNow - aOther.second.mLast > kArrivalsRetention;
  });
  const auto it =
    mArrivals.try_emplace(aEntry.mAccount, Arrivals{ {}, aNow, aNow }).first;
  auto& arrivals = it->second;
  const auto sinceLast = ToMillis(aNow - arrivals.mLast);
  for (std::size_t n = 0; n < kAveragingTimesMs.size(); ++n) {
    arrivals.mWork[n] =
      arrivals.mWork[n] * std::exp(-sinceLast / kAveragingTimesMs[n]) +
      ToMillis(aEntry.mService);
  }
  arrivals.mLast = aNow;
}

Duration
FairLane::MeanService() const
{
  Duration work{};
  for (const auto& [id, account] : mAccounts) {
    work += account.mService;
  }
  return mSize == 0 ? Duration() : work / static_cast<std::int64_t>(mSize);
}

bool
FairLane::Contains(Ticket aTicket) const
{
  return std::any_of(
    mAccounts.begin(), mAccounts.end(), [&](const auto& aAccount) {
      const auto& entries = aAccount.second.mEntries;
      return std::any_of(
        entries.begin(), entries.end(), [&](const QueueEntry& aEntry) {
          return aEntry.mTicket == aTicket;
        });
    });
}

void
FairLane::Push(QueueEntry aEntry, Instant aNow)
{
  RecordArrival(aEntry, aNow);
  aEntry.mCostTokens = std::max(1.0, aEntry.mCostTokens);
  const bool isNew = !mAccounts.contains(aEntry.mAccount);
  const double tag = StartTagOf(aEntry.mAccount);
  const auto it = mAccounts.try_emplace(aEntry.mAccount).first;
  if (isNew) {
    it->second.mStartTag = tag;
    it->second.mOrder = mNextOrder++;
    mIdleTags.erase(aEntry.mAccount);
  }
  it->second.mService += aEntry.mService;
  it->second.mEntries.push_back(std::move(aEntry));
  ++mSize;
}

QueueEntry
FairLane::Pop()
{
  const auto it = std::min_element(
    mAccounts.begin(),
    mAccounts.end(),
    [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.mStartTag, aLeft.second.mOrder) <
             std::pair(aRight.second.mStartTag, aRight.second.mOrder);
    });
  mVirtualTime = std::max(mVirtualTime, it->second.mStartTag);
  it->second.mStartTag += it->second.mEntries.front().mCostTokens;
  std::erase_if(mIdleTags, [&](const auto& aIdle) {
    return aIdle.second <= mVirtualTime - mBurstTokens;
  });
  return TakeAt(it, 0);
}

std::optional<QueueEntry>
FairLane::PopNewest(const AccountId& aAccount)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return std::nullopt;
  }
  return TakeAt(it, it->second.mEntries.size() - 1);
}

bool
FairLane::Remove(Ticket aTicket)
{
  return !RemoveIf([&](const QueueEntry& aEntry, Duration) {
            return aEntry.mTicket == aTicket;
          }).empty();
}

std::vector<QueueEntry>
FairLane::RemoveIf(
  const std::function<bool(const QueueEntry&, Duration)>& aPredicate)
{
  std::vector<QueueEntry> removed;
  for (auto it = mAccounts.begin(); it != mAccounts.end();) {
    const auto next = std::next(it);
    Duration own{};
    for (std::size_t n = 0; n < it->second.mEntries.size();) {
      const auto& entry = it->second.mEntries[n];
      const bool isLast = it->second.mEntries.size() == 1;
      if (!aPredicate(entry, own + WorkOfOthers(it->first, own))) {
        own += entry.mService;
        ++n;
        continue;
      }
      removed.push_back(TakeAt(it, n));
      if (isLast) {
        break;
      }
    }
    it = next;
  }
  return removed;
}

std::vector<QueueEntry>
FairLane::TakeAll()
{
  return RemoveIf([](const QueueEntry&, Duration) { return true; });
}

double
FairLane::StartTagOf(const AccountId& aAccount) const
{
  if (const auto it = mAccounts.find(aAccount); it != mAccounts.end()) {
    return it->second.mStartTag;
  }
  const double earliest = mVirtualTime - mBurstTokens;
  const auto idle = mIdleTags.find(aAccount);
  return idle == mIdleTags.end() ? earliest : std::max(earliest, idle->second);
}

Duration
FairLane::WorkOfOthers(const AccountId& aAccount, Duration aOwn) const
{
  const double tag = StartTagOf(aAccount);
  Duration work{};
  for (const auto& [id, account] : mAccounts) {
    if (id == aAccount) {
      continue;
    }
    const bool isAhead = account.mStartTag <= tag;
    const auto head = isAhead ? account.mEntries.front().mService : Duration();
    work += std::min(account.mService, aOwn + head);
  }
  return work;
}

QueueEntry
FairLane::TakeAt(Accounts::iterator aAccount, std::size_t aIndex)
{
  auto& account = aAccount->second;
  const auto at =
    account.mEntries.begin() + static_cast<std::ptrdiff_t>(aIndex);
  QueueEntry entry = std::move(*at);
  account.mEntries.erase(at);
  account.mService -= entry.mService;
  --mSize;
  if (account.mEntries.empty()) {
    if (account.mStartTag > mVirtualTime - mBurstTokens) {
      mIdleTags[aAccount->first] = account.mStartTag;
    }
    mAccounts.erase(aAccount);
  }
  return entry;
}

} // namespace bilberrytrail
