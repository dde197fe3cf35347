#include "fair_lane.h"

#include <algorithm>
#include <cmath>

namespace bilberrytrail {
namespace {

// Times over which arrivals are averaged, of which the higher average counts,
// since a surge shows in the short one first; the time after which an account
// is forgotten, and the shortest time that a rate is taken from.
constexpr std::array<double, 2> kMemoriesMs{ 1000, 5000 };
constexpr Duration kForgetTime = 20s;
constexpr Duration kLeastSeen = 500ms;

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
      work += std::min(account.mService, ShareOf(account, tag, own));
    }
  }
  for (const auto& [id, arrivals] : mArrivals) {
    const auto at = mAccounts.find(id);
    const auto waits = at == mAccounts.end() ? Duration() : at->second.mService;
    const auto share = at == mAccounts.end() ? own + MeanService()
                                             : ShareOf(at->second, tag, own);
    if (id != aAccount && share > waits) {
      const auto coming = FromMillis(PerMs(arrivals, aNow) * ToMillis(aWait));
      work += std::min(coming, share - waits);
    }
  }
  return work;
}

Duration
FairLane::ArrivingWork(Duration aWait, Instant aNow) const
{
  double perMs = 0;
  for (const auto& [id, arrivals] : mArrivals) {
    perMs += PerMs(arrivals, aNow);
  }
  return FromMillis(perMs * ToMillis(aWait));
}

Duration
FairLane::ShareOf(const Account& aAccount, double aTag, Duration aOwn)
{
  const auto& head = aAccount.mEntries.front();
  if (aAccount.mStartTag > aTag) {
    return aOwn;
  }
  // An account whose tag is behind starts so many tokens more first.
  const double lead = (aTag - aAccount.mStartTag) / head.mCostTokens;
  return aOwn + FromMillis(ToMillis(head.mService) * (1 + lead));
}

double
FairLane::PerMs(const Arrivals& aArrivals, Instant aNow)
{
  const auto past = ToMillis(aNow - aArrivals.mLast);
  const auto seen = ToMillis(std::max(aNow - aArrivals.mFirst, kLeastSeen));
  double most = 0;
  for (std::size_t n = 0; n < kMemoriesMs.size(); ++n) {
    const double memory = kMemoriesMs[n];
    most = std::max(most,
                    aArrivals.mWork[n] * std::exp(-past / memory) / memory /
                      (1 - std::exp(-seen / memory)));
  }
  return most;
}

void
FairLane::NoteArrival(const QueueEntry& aEntry, Instant aNow)
{
  std::erase_if(mArrivals, [&](const auto& aOther) {
    return aNow - aOther.second.mLast > kForgetTime;
  });
  const auto it =
    mArrivals.try_emplace(aEntry.mAccount, Arrivals{ {}, aNow, aNow }).first;
  auto& arrivals = it->second;
  const auto past = ToMillis(aNow - arrivals.mLast);
  for (std::size_t n = 0; n < kMemoriesMs.size(); ++n) {
    arrivals.mWork[n] = arrivals.mWork[n] * std::exp(-past / kMemoriesMs[n]) +
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
  NoteArrival(aEntry, aNow);
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
