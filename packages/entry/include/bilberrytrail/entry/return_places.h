#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/entry/server_load.h>

#include <array>
#include <cstdint>
#include <unordered_map>

namespace bilberrytrail {

// Places in time for the callers of prompts that were refused: each is told to
// return when a part of the room that the group grants is free for it, the more
// urgent ranks first, and finds its place kept for a while. A caller that comes
// early has none. Lost with the daemon: its callers are then admitted like
// others.
//
//   const auto wait = places.Give(caller, rank, estimate, timeLeft, now);
//   ...
//   if (places.Take(caller, later)) { ... }
class ReturnPlaces
{
public:
  // Part of the grants that callers who return may take.
  static constexpr double kShare = 0.3;
  // A caller may be this early, and this late.
  static constexpr Duration kEarly = 100ms;
  static constexpr Duration kLate = 1500ms;
  static constexpr Duration kLeast = 100ms;
  static constexpr Duration kMost = 5s;
  // Callers wait for this part of the time that they have left at most.
  static constexpr double kTimeShare = 0.33;
  static constexpr std::size_t kMaxPlaces = 4096;

  // Returns the time after which the caller of a refused prompt should return.
  // There is a place for it if one is free in time. aEstimate is the time in
  // which the prompt would have been answered.
  [[nodiscard]] Duration Give(std::uint64_t aCaller,
                              unsigned aRank,
                              Duration aEstimate,
                              Duration aTimeLeft,
                              Instant aNow);
  // Uses the place of a caller; returns whether there is one for now.
  [[nodiscard]] bool Take(std::uint64_t aCaller, Instant aNow);
  // Records that a prompt was granted a server.
  void NoteGranted(Instant aNow) noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return mPlaces.size(); }

private:
  [[nodiscard]] Duration Interval(Instant aNow) const noexcept;
  void Expire(Instant aNow);

  // By caller, the time for which it was told to return.
  std::unordered_map<std::uint64_t, Instant> mPlaces;
  // Next place of each rank.
  std::array<Instant, kRanks> mNextAt{};
  // Moving average of the grants per second, as of mRateAt.
  double mRate = 0;
  Instant mRateAt;
};

} // namespace bilberrytrail
