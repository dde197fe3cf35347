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

// Lengths of a lease.
struct LeaseSettings
{
  // The holder may issue orders for this long behind the sending of a write.
  Duration mLength = 6s;
  // The holder renews when this much has passed behind a write.
  Duration mRenewAfter = 2s;
  // An order is under way for this long at most.
  Duration mMaxOrderDuration = 3s;
  // Pause between reads of the row by one that wants the lease.
  Duration mReadInterval = 1s;
  // A table call that brought no result for this long counts as lost.
  Duration mCallTimeout = 2s;
};

// Value of a lease row. An empty holder means that it was given back.
struct LeaseRow
{
  DaemonId mHolder;
  // Grows with each change of holder; the fencing number of orders.
  FencingNumber mEpoch;
  // Differs between all writes of one holder, so that a row tells which write
  // made it.
  std::uint64_t mWriteNumber = 0;

  bool operator==(const LeaseRow&) const = default;
};

// Row value as JSON, and back; reading fails with Corrupt.
[[nodiscard]] std::string
ToText(const LeaseRow& aRow);
[[nodiscard]] Result<LeaseRow>
LeaseRowFromText(std::string_view aText);

// Returns the key of a control shard's lease row.
[[nodiscard]] std::string
LeaseKey(std::uint32_t aShard);

// A table call for the caller to make; its result goes to OnRead or OnWrite
// with the same sequence number.
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

// The lease of one control shard as one daemon sees it. Time left is judged
// by this daemon's monotonic clock only: as holder since it sent its last
// confirmed write, as observer since it last saw the row change.
//
//   Lease lease("lease/3", self, settings);
//   lease.SetWanted(true);
//   if (auto action = lease.Tick(now)) { ... }
//   if (auto epoch = lease.EpochForOrder(now)) { send the order with it }
class Lease
{
public:
  Lease(std::string aKey, DaemonId aSelf, LeaseSettings aSettings);

  // The fencing number to put on an order sent now, or nothing when this
  // daemon does not hold the lease or has no time left.
  [[nodiscard]] std::optional<FencingNumber> EpochForOrder(
    Instant aNow) const noexcept;
  // The row as last read.
  [[nodiscard]] const std::optional<LeaseRow>& LastSeen() const noexcept;
  // When Tick is due next.
  [[nodiscard]] Instant NextTick() const noexcept;

  // Returns whether this daemon is giving the lease back and does not know yet
  // that the row shows it.
  [[nodiscard]] bool IsRelinquishing() const noexcept;

  // Says whether this daemon should hold the lease. A holder that should not
  // gives it back, again when a reply is lost; its caller must have ended its
  // orders before.
  void SetWanted(bool aWanted) noexcept;
  // Runs the timers; returns the table call to make, if any.
  [[nodiscard]] std::optional<LeaseAction> Tick(Instant aNow);
  // Takes the result of a read in.
  void OnRead(std::uint64_t aSequence,
              const CallResult<std::optional<TableRow>>& aResult,
              Instant aNow);
  // Takes the result of a write in.
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
  std::optional<LeaseAction> TickGivingBack(Instant aNow);
  void See(const std::optional<TableRow>& aRow, Instant aNow);
  void Confirm(const Pending& aWrite);
  [[nodiscard]] bool MayTake(Instant aNow) const;

  std::string mKey;
  DaemonId mSelf;
  LeaseSettings mSettings;
  bool mWanted = false;
  std::uint64_t mSequence = 0;
  std::optional<Call> mCall;
  std::vector<Pending> mPending;
  // The row must be read before the next write.
  bool mMustRead = true;
  std::optional<LeaseRow> mSeen;
  std::uint64_t mSeenVersion = 0;
  std::optional<Instant> mChangedAt;
  Instant mNextRead;
  // While this daemon is the holder.
  std::optional<FencingNumber> mEpoch;
  Instant mConfirmedAt;
  // While the row may still name this daemon, which gave the lease back.
  std::optional<FencingNumber> mGivingBack;
};

} // namespace bilberrytrail
