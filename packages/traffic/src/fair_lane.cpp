#include "fair_lane.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bilberrytrail {

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
FairLane::WorkAhead(const AccountId& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  const auto own = it == mAccounts.end() ? Duration() : it->second.mService;
  return own + WorkOfOthers(aAccount, own);
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
FairLane::Push(QueueEntry aEntry)
{
  aEntry.mCostTokens = std::max(1.0, aEntry.mCostTokens);
  auto [it, isNew] = mAccounts.try_emplace(aEntry.mAccount);
  if (isNew) {
    mTurns.push_back(aEntry.mAccount);
  }
  it->second.mService += aEntry.mService;
  it->second.mEntries.push_back(std::move(aEntry));
  ++mSize;
}

QueueEntry
FairLane::Pop()
{
  for (std::size_t visited = 0;; ++visited) {
    if (visited == mTurns.size()) {
      SkipIdleRounds();
      visited = 0;
    }
    const auto it = mAccounts.find(mTurns.front());
    auto& account = it->second;
    if (!mTurnBegun) {
      account.mDeficit += mQuantumTokens;
      mTurnBegun = true;
    }
    const double cost = account.mEntries.front().mCostTokens;
    if (cost <= account.mDeficit) {
      account.mDeficit -= cost;
      return TakeAt(it, 0);
    }
    mTurns.push_back(mTurns.front());
    mTurns.pop_front();
    mTurnBegun = false;
  }
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

Duration
FairLane::WorkOfOthers(const AccountId& aAccount, Duration aOwn) const
{
  Duration work{};
  for (const auto& [id, account] : mAccounts) {
    if (id != aAccount) {
      work +=
        std::min(account.mService, aOwn + account.mEntries.front().mService);
    }
  }
  return work;
}

QueueEntry
FairLane::TakeAt(Accounts::iterator aAccount, std::size_t aIndex)
{
  auto& entries = aAccount->second.mEntries;
  const auto at = entries.begin() + static_cast<std::ptrdiff_t>(aIndex);
  QueueEntry entry = std::move(*at);
  entries.erase(at);
  aAccount->second.mService -= entry.mService;
  --mSize;
  if (entries.empty()) {
    const auto turn = std::find(mTurns.begin(), mTurns.end(), aAccount->first);
    mTurnBegun = mTurnBegun && turn != mTurns.begin();
    mTurns.erase(turn);
    mAccounts.erase(aAccount);
  }
  return entry;
}

void
FairLane::SkipIdleRounds()
{
  double rounds = std::numeric_limits<double>::max();
  for (const auto& [id, account] : mAccounts) {
    const double lack = account.mEntries.front().mCostTokens - account.mDeficit;
    rounds = std::min(rounds, std::ceil(lack / mQuantumTokens) - 1);
  }
  for (auto& [id, account] : mAccounts) {
    account.mDeficit += std::max(0.0, rounds) * mQuantumTokens;
  }
}

} // namespace bilberrytrail
