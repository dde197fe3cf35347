#pragma once

#include <bilberrytrail/traffic/server_queue.h>

#include <array>
#include <deque>
#include <functional>
#include <map>

namespace bilberrytrail {

// The waiting entries of one work class: a queue per client account, served
// by start-time fair queueing with cost in estimated tokens. Each account has
// a start tag, which grows by the cost of each entry that it starts; the
// account with the least tag is next. An account that has started little
// enters up to the burst ahead of the others, which bounds what it can gain by
// having waited with its requests.
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
  // entry of the account when it waits for so long: those of other accounts
  // that arrive meanwhile may be among them.
  [[nodiscard]] Duration WorkAhead(const AccountId& aAccount,
                                   Duration aWait,
                                   Instant aNow) const;
  // Returns the estimated running time of the entries that arrive in the given
  // time, as many as lately.
  [[nodiscard]] Duration ArrivingWork(Duration aWait, Instant aNow) const;
  // Returns the mean estimated running time of the waiting entries; nothing
  // for an empty lane.
  [[nodiscard]] Duration MeanService() const;
  [[nodiscard]] bool Contains(Ticket aTicket) const;

  void Push(QueueEntry aEntry, Instant aNow);
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
    double mStartTag = 0;
    // Order in which accounts came, for equal tags.
    std::uint64_t mOrder = 0;
  };
  using Accounts = std::map<AccountId, Account>;

  // Work of one account that arrived lately, in milliseconds of running time;
  // what is older counts less, by two measures.
  struct Arrivals
  {
    std::array<double, 2> mWork{};
    Instant mFirst;
    Instant mLast;
  };

  void NoteArrival(const QueueEntry& aEntry, Instant aNow);
  [[nodiscard]] static double PerMs(const Arrivals& aArrivals, Instant aNow);
  // Returns the running time of what the account may start before an entry
  // with the start tag and the own work of its account ahead.
  [[nodiscard]] static Duration ShareOf(const Account& aAccount,
                                        double aTag,
                                        Duration aOwn);
  // Returns the tag at which the account is, or would enter.
  [[nodiscard]] double StartTagOf(const AccountId& aAccount) const;
  [[nodiscard]] Duration WorkOfOthers(const AccountId& aAccount,
                                      Duration aOwn) const;
  QueueEntry TakeAt(Accounts::iterator aAccount, std::size_t aIndex);

  double mBurstTokens;
  Accounts mAccounts;
  std::map<AccountId, Arrivals> mArrivals;
  // Tags of accounts with nothing waiting, where they bar the full burst.
  std::map<AccountId, double> mIdleTags;
  // Largest start tag of the entries started so far.
  double mVirtualTime = 0;
  std::uint64_t mNextOrder = 0;
  std::size_t mSize = 0;
};

// Returns the last time at which the entry can start and, with the margin
// added to its running time, still meet its deadline.
[[nodiscard]] Instant
LatestStart(const QueueEntry& aEntry, double aMargin) noexcept;

} // namespace bilberrytrail
