#pragma once

#include <bilberrytrail/traffic/server_queue.h>

#include <deque>
#include <functional>
#include <map>

namespace bilberrytrail {

// The waiting entries of one work class: a queue per client account, served
// by deficit round robin with cost in estimated tokens.
class FairLane
{
public:
  explicit FairLane(double aQuantumTokens) noexcept
    : mQuantumTokens(aQuantumTokens)
  {
  }

  [[nodiscard]] std::size_t size() const noexcept { return mSize; }
  [[nodiscard]] bool IsEmpty() const noexcept { return mSize == 0; }
  [[nodiscard]] std::size_t CountOf(const AccountId& aAccount) const;
  // Returns the account with the most waiting entries; the lane must not be
  // empty.
  [[nodiscard]] const AccountId& LargestAccount() const;
  // Returns the estimated running time of the entries that start before a new
  // entry of the account.
  [[nodiscard]] Duration WorkAhead(const AccountId& aAccount) const;
  [[nodiscard]] bool Contains(Ticket aTicket) const;

  void Push(QueueEntry aEntry);
  // Removes the entry that is next to start; the lane must not be empty.
  QueueEntry Pop();
  // Removes the newest entry of the account.
  std::optional<QueueEntry> PopNewest(const AccountId& aAccount);
  bool Remove(Ticket aTicket);
  // Removes the entries for which the function returns true. The function is
  // given the running time of the entries that start before each.
  std::vector<QueueEntry> RemoveIf(
    const std::function<bool(const QueueEntry&, Duration)>& aPredicate);
  std::vector<QueueEntry> TakeAll();

private:
  struct Account
  {
    std::deque<QueueEntry> mEntries;
    Duration mService{};
    double mDeficit = 0;
  };
  using Accounts = std::map<AccountId, Account>;

  [[nodiscard]] Duration WorkOfOthers(const AccountId& aAccount,
                                      Duration aOwn) const;
  QueueEntry TakeAt(Accounts::iterator aAccount, std::size_t aIndex);
  // Gives each account the deficit of as many turns as none can start in.
  void SkipIdleRounds();

  double mQuantumTokens;
  Accounts mAccounts;
  // Accounts with waiting entries in the order of their turns.
  std::deque<AccountId> mTurns;
  // Whether the first account has had the quantum of its present turn.
  bool mTurnBegun = false;
  std::size_t mSize = 0;
};

// Returns the last time at which the entry can start and, with the margin
// added to its running time, still meet its deadline.
[[nodiscard]] Instant
LatestStart(const QueueEntry& aEntry, double aMargin) noexcept;

} // namespace bilberrytrail
