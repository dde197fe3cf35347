#pragma once

#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bilberrytrail {

// Bounds of a store's link.
struct LinkLimits
{
  double mBytesPerSecond = 125e6;
  // Longest backlog with which a request's import is still accepted.
  Duration mMaxBacklog = 2s;
  // Longest backlog with which a prefetch is still accepted.
  Duration mMaxPrefetchBacklog = 100ms;
  // Largest share of imported bytes that may end up unused.
  double mMaxUnusedShare = 0.05;
};

// A transfer that has a place on a link.
struct LinkReservation
{
  std::uint64_t mNumber = 0;
  // When the transfer may begin, and when it ends at the link's rate.
  Instant mBeginAt{};
  Instant mEndAt{};
};

// Rate and backlog of one store's link, kept at the store's home. Transfers
// get places one behind another, so that the rate is never exceeded. A prefetch
// is accepted only while all bytes that may end up unused, counting every
// prefetch whose use is not known yet, stay below the bound.
//
//   const auto place = link.Reserve(bytes, now);
//   ... begin the transfer at place->mBeginAt ...
//   link.OnUsed(place->mNumber, bytes);
class LinkBudget
{
public:
  explicit LinkBudget(const LinkLimits& aLimits);

  // Returns the time that a new transfer would wait.
  [[nodiscard]] Duration Backlog(Instant aNow) const;
  [[nodiscard]] std::uint64_t BacklogBytes(Instant aNow) const;
  // Returns the share of transferred bytes known to be used, among those whose
  // use is known; 1 when there are none.
  [[nodiscard]] double UsedShare() const;
  // Returns the transferred bytes that were used, and those that were not.
  [[nodiscard]] std::uint64_t UsedBytes() const noexcept { return mUsedBytes; }
  [[nodiscard]] std::uint64_t UnusedBytes() const noexcept
  {
    return mUnusedBytes;
  }

  // Takes a place for a transfer that a request waits for; nothing when the
  // backlog is too long.
  [[nodiscard]] std::optional<LinkReservation> Reserve(std::uint64_t aBytes,
                                                       Instant aNow);
  // Takes a place for a transfer ahead of a request that may not come.
  [[nodiscard]] std::optional<LinkReservation> ReservePrefetch(
    std::uint64_t aBytes,
    Instant aNow);
  // Settles a transfer: that many of its bytes were used, the others not.
  void OnUsed(std::uint64_t aNumber, std::uint64_t aBytes);
  // The transfer did not take place: its bytes count neither way. The link's
  // time stays taken.
  void OnCancelled(std::uint64_t aNumber);

private:
  struct Transfer
  {
    std::uint64_t mBytes = 0;
    bool mIsPrefetch = false;
  };

  [[nodiscard]] LinkReservation Place(std::uint64_t aBytes,
                                      bool aIsPrefetch,
                                      Instant aNow);
  [[nodiscard]] std::optional<Transfer> Take(std::uint64_t aNumber);

  LinkLimits mLimits;
  Instant mFreeAt{};
  std::uint64_t mLastNumber = 0;
  std::unordered_map<std::uint64_t, Transfer> mOpen;
  std::uint64_t mUsedBytes = 0;
  std::uint64_t mUnusedBytes = 0;
  std::uint64_t mOpenPrefetchBytes = 0;
};

} // namespace bilberrytrail
