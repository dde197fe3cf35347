#pragma once

#include <bilberrytrail/traffic/server_queue.h>

#include <array>
#include <deque>
#include <functional>
#include <map>

namespace bilberrytrail {

// The waiting entries of one work class: a queue per client account, served by
// start-time fair queueing with costs in estimated tokens. Each account has a
// start tag, which grows by the cost of each entry that it starts; the account
// with the lowest tag is next. An account with little recent work enters at
// most the burst ahead of the others, which limits what it can gain by holding
// back its requests.
class FairLane
{
public:
  explicit FairLane(double aBurstTokens) noexcept
    : mBurstTokens(aBurstTokens)
  {
  }

  [[nodiscard]] std::size_t size() const noexcept { return mSize; }
  [[nodiscard]] bool IsEmpty() const noexcept { return mSize == 0; }
  [[nodiscard]] std::size_t CountOf(const AccountId& aAccount) const;
  // Returns the account with the most waiting entries; the lane must not be
  // empty.
  [[nodiscard]] const AccountId& LargestAccount() const;
  // Returns the estimated running time of the entries that start before a new
  // entry of the account that waits for aWait. Includes entries of other
  // accounts that are expected to arrive during the wait.
  [[nodiscard]] Duration WorkAhead(const AccountId& aAccount,
                                   Duration aWait,
                                   Instant aNow) const;
  // Returns the estimated running time of the entries that arrive within aWait
  // at the recent arrival rate.
  [[nodiscard]] Duration ArrivingWork(Duration aWait, Instant aNow) const;
  // Returns the mean estimated running time of the waiting entries; zero for an
  // empty lane.
  [[nodiscard]] Duration MeanService() const;
  [[nodiscard]] bool Contains(Ticket aTicket) const;

  void Push(QueueEntry aEntry, Instant aNow);
  // Removes the entry that is next to start; the lane must not be empty.
  QueueEntry Pop();
  // Removes the newest entry of the account.
  std::optional<QueueEntry> PopNewest(const AccountId& aAccount);
  bool Remove(Ticket aTicket);
  // Removes the entries for which the predicate returns true. Its second
  // argument is the estimated running time of the entries that start before the
  // given one.
  std::vector<QueueEntry> RemoveIf(
    const std::function<bool(const QueueEntry&, Duration)>& aPredicate);
  std::vector<QueueEntry> TakeAll();

private:
  struct Account
  {
    std::deque<QueueEntry> mEntries;
    Duration mService{};
    double mStartTag = 0;
    // Order of arrival of the accounts, which breaks ties between equal tags.
    std::uint64_t mOrder = 0;
  };
  using Accounts = std::map<AccountId, Account>;

  // Recently arrived work of one account, in milliseconds of running time, as
  // sums that decay with each of the averaging times.
  struct Arrivals
  {
    std::array<double, 2> mWork{};
    Instant mFirst;
    Instant mLast;
  };

  void RecordArrival(const QueueEntry& aEntry, Instant aNow);
  [[nodiscard]] static double WorkPerMs(const Arrivals& aArrivals,
                                        Instant aNow);
  // Returns the running time of the work that aAccount may start before an
  // entry whose account has start tag aTag and aOwn of its own work ahead.
  [[nodiscard]] static Duration WorkBefore(const Account& aAccount,
                                           double aTag,
                                           Duration aOwn);
  // Returns the start tag of the account, or the one with which it would enter
  // the lane.
  [[nodiscard]] double StartTagOf(const AccountId& aAccount) const;
  [[nodiscard]] Duration WorkOfOthers(const AccountId& aAccount,
                                      Duration aOwn) const;
  QueueEntry TakeAt(Accounts::iterator aAccount, std::size_t aIndex);

  double mBurstTokens;
  Accounts mAccounts;
  std::map<AccountId, Arrivals> mArrivals;
  // Start tags of accounts without waiting entries, kept while they deny the
  // account its full burst.
  std::map<AccountId, double> mIdleTags;
  // Highest start tag of the entries started so far.
  double mVirtualTime = 0;
  std::uint64_t mNextOrder = 0;
  std::size_t mSize = 0;
};

// Returns the latest time at which the entry can start and still meet its
// deadline, with aMargin as the fraction added to its running time.
[[nodiscard]] Instant
LatestStart(const QueueEntry& aEntry, double aMargin) noexcept;

} // namespace bilberrytrail
