#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/table_service.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Durations of a lease.
struct LeaseSettings
{
  // The holder may issue orders for this long after it sent a confirmed write.
  Duration mLength = 6s;
  // The holder renews this long after it sent its last confirmed write.
  Duration mRenewAfter = 2s;
  // Upper bound on the time between issuing an order and its taking effect.
  Duration mMaxOrderDuration = 3s;
  // Interval at which a daemon that wants the lease reads its row.
  Duration mReadInterval = 1s;
  // A table call without a result for this long is treated as lost.
  Duration mCallTimeout = 2s;
};

// Value of a lease row. An empty holder means that the lease was relinquished.
struct LeaseRow
{
  DaemonId mHolder;
  // Grows with each change of holder; the fencing number of orders.
  FencingNumber mEpoch;
  // Unique among the writes of one holder, so that a row identifies the write
  // that produced it.
  std::uint64_t mWriteNumber = 0;

  bool operator==(const LeaseRow&) const = default;
};

// Converts a row value to JSON and back. LeaseRowFromText fails with Corrupt
// when the text is not a lease row.
[[nodiscard]] std::string
ToText(const LeaseRow& aRow);
[[nodiscard]] Result<LeaseRow>
LeaseRowFromText(std::string_view aText);

// Returns the key of a control shard's lease row.
[[nodiscard]] std::string
LeaseKey(std::uint32_t aShard);

// A table call that the caller has to make; it passes the result to OnRead or
// OnWrite with the same sequence number.
struct LeaseRead
{
  std::uint64_t mSequence = 0;
  std::string mKey;
};
struct LeaseWrite
{
  std::uint64_t mSequence = 0;
  TableWrite mWrite;
};
using LeaseAction = std::variant<LeaseRead, LeaseWrite>;

// The lease of one control shard from the view of one daemon. Expiry is
// measured by this daemon's monotonic clock only: a holder counts from the
// sending of its last confirmed write, an observer from the last change of the
// row that it saw.
//
// A table service that comes back from an older copy, in a new era, has lost
// the newest rows and gives their versions out again. So each era has a row of
// its own, which no write of an earlier era can match, and its epochs are
// greater than all of earlier eras.
//
//   Lease lease("lease/3", self, settings);
//   lease.SetWanted(true);
//   if (auto action = lease.Tick(now)) { ... }
//   if (auto epoch = lease.EpochForOrder(now)) { send the order with it }
class Lease
{
public:
  Lease(std::string aKey, DaemonId aSelf, LeaseSettings aSettings);

  // Returns the fencing number for an order sent now, or nothing when this
  // daemon does not hold the lease or the lease has expired.
  [[nodiscard]] std::optional<FencingNumber> EpochForOrder(
    Instant aNow) const noexcept;
  // Returns the row as last read or written.
  [[nodiscard]] const std::optional<LeaseRow>& LastSeen() const noexcept;
  // Returns when Tick has to be called next.
  [[nodiscard]] Instant NextTick() const noexcept;

  // Returns true while this daemon relinquishes the lease and has not yet seen
  // the change confirmed in the row.
  [[nodiscard]] bool IsRelinquishing() const noexcept;

  // Sets the era of the table service, from any of its answers and before a
  // result of the same answer is handled. A higher one ends the lease and the
  // call in progress. Lower ones are ignored.
  void SetEra(std::uint64_t aEra, Instant aNow);
  // Sets whether this daemon should hold the lease. A holder that should not
  // relinquishes it, and repeats the write when a reply is lost; its caller
  // must have finished its orders before.
  void SetWanted(bool aWanted) noexcept;
  // Runs the timers; returns the table call to make, if any.
  [[nodiscard]] std::optional<LeaseAction> Tick(Instant aNow);
  // Handles the result of a read.
  void OnRead(std::uint64_t aSequence,
              const CallResult<std::optional<TableRow>>& aResult,
              Instant aNow);
  // Handles the result of a write.
  void OnWrite(std::uint64_t aSequence,
               const CallResult<CommitOutcome>& aResult,
               Instant aNow);

private:
  // A write that was sent and may still take effect.
  struct Pending
  {
    LeaseRow mRow;
    std::uint64_t mExpectedVersion = 0;
    Instant mSentAt;
  };
  struct Call
  {
    std::uint64_t mSequence = 0;
    Instant mSentAt;
    bool mIsWrite = false;
  };

  LeaseAction Read(Instant aNow);
  LeaseAction Write(DaemonId aHolder, FencingNumber aEpoch, Instant aNow);
  std::optional<LeaseAction> TickHolder(Instant aNow);
  std::optional<LeaseAction> TickObserver(Instant aNow);
  std::optional<LeaseAction> TickRelinquishing(Instant aNow);
  void ApplyRow(const std::optional<TableRow>& aRow, Instant aNow);
  void Confirm(const Pending& aWrite);
  [[nodiscard]] bool CanAcquire(Instant aNow) const;
  // Returns the time after which a holder of which nothing more is heard has
  // sent its last order.
  [[nodiscard]] Duration TakeoverWait() const noexcept
  {
    return mSettings.mLength + mSettings.mMaxOrderDuration;
  }
  // Returns the key of the row in the current era.
  [[nodiscard]] std::string Key() const;

  std::string mKey;
  DaemonId mSelf;
  LeaseSettings mSettings;
  bool mWanted = false;
  // 0 if the table service has none.
  std::uint64_t mEra = 0;
  // When this daemon learned of the era.
  Instant mEraSince;
  std::uint64_t mSequence = 0;
  std::optional<Call> mCall;
  std::vector<Pending> mPending;
  // The row must be read before the next write.
  bool mMustRead = true;
  std::optional<LeaseRow> mSeen;
  std::uint64_t mSeenVersion = 0;
  std::optional<Instant> mChangedAt;
  Instant mNextRead;
  // Set while this daemon is the holder.
  std::optional<FencingNumber> mEpoch;
  Instant mConfirmedAt;
  // Set while the row may still name this daemon although it relinquished the
  // lease.
  std::optional<FencingNumber> mRelinquishing;
};

} // namespace bilberrytrail
