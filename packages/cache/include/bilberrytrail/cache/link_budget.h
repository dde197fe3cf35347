#pragma once

#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bilberrytrail {

// Limits of a store's link.
struct LinkLimits
{
  double mBytesPerSecond = 125e6;
  // Longest backlog at which a request's import is accepted.
  Duration mMaxBacklog = 2s;
  // Longest backlog at which a prefetch is accepted.
  Duration mMaxPrefetchBacklog = 100ms;
  // Largest share of imported bytes that may end up unused.
  double mMaxUnusedShare = 0.05;
};

// Time slot of a transfer on a link.
struct LinkReservation
{
  std::uint64_t mNumber = 0;
  // Earliest start of the transfer, and its end at the link's rate.
  Instant mBeginAt{};
  Instant mEndAt{};
};

// Rate and backlog of one store's link, held by the store's home. Transfers
// are scheduled one after another, so that the rate is never exceeded. A
// prefetch is accepted only while the share of bytes that may end up unused,
// counting every prefetch whose use is not known yet, stays within
// mMaxUnusedShare.
//
//   const auto reservation = link.Reserve(bytes, now);
//   ... begin the transfer at reservation->mBeginAt ...
//   link.OnUsed(reservation->mNumber, bytes);
class LinkBudget
{
public:
  explicit LinkBudget(const LinkLimits& aLimits);

  // Returns the time that a new transfer would wait before it starts.
  [[nodiscard]] Duration Backlog(Instant aNow) const;
  [[nodiscard]] std::uint64_t BacklogBytes(Instant aNow) const;
  // Returns the share of transferred bytes known to be used, among those whose
  // use is known; 1 when there are none.
  [[nodiscard]] double UsedShare() const;
  // Return the transferred bytes known to be used, and those known to be
  // unused.
  [[nodiscard]] std::uint64_t UsedBytes() const noexcept { return mUsedBytes; }
  [[nodiscard]] std::uint64_t UnusedBytes() const noexcept
  {
    return mUnusedBytes;
  }

  // Schedules a transfer that a request waits for; nullopt when the backlog
  // exceeds mMaxBacklog.
  [[nodiscard]] std::optional<LinkReservation> Reserve(std::uint64_t aBytes,
                                                       Instant aNow);
  // Schedules a speculative transfer for a request that may not arrive; nullopt
  // when the backlog or the unused share would exceed its limit.
  [[nodiscard]] std::optional<LinkReservation> ReservePrefetch(
    std::uint64_t aBytes,
    Instant aNow);
  // Closes a transfer of which aBytes bytes were used and the rest were not.
  void OnUsed(std::uint64_t aNumber, std::uint64_t aBytes);
  // Closes a transfer that did not take place: its bytes count neither as used
  // nor as unused. Its time slot on the link stays reserved.
  void OnCancelled(std::uint64_t aNumber);

private:
  struct Transfer
  {
    std::uint64_t mBytes = 0;
    bool mIsPrefetch = false;
  };

  [[nodiscard]] LinkReservation Schedule(std::uint64_t aBytes,
                                         bool aIsPrefetch,
                                         Instant aNow);
  [[nodiscard]] std::optional<Transfer> CloseTransfer(std::uint64_t aNumber);

  LinkLimits mLimits;
  Instant mIdleAt{};
  std::uint64_t mLastNumber = 0;
  std::unordered_map<std::uint64_t, Transfer> mOpenTransfers;
  std::uint64_t mUsedBytes = 0;
  std::uint64_t mUnusedBytes = 0;
  std::uint64_t mOpenPrefetchBytes = 0;
};

} // namespace bilberrytrail
