#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bilberrytrail {

// The first attempt at a request, and the hedge beside it.
enum class RaceAttempt : unsigned char
{
  First,
  Hedge
};

// Decides which of two attempts at one request answers it: the first that sends
// a piece of its answer. From then on the other one is the loser, and nothing
// of it may reach the caller. A head is no piece of an answer, since an engine
// sends it before it computes.
//
//   HedgeRace race;
//   if (race.AddHedge()) { ... send it ... }
//   if (race.AcceptChunk(lane)) { ... pass it on ... }
class HedgeRace
{
public:
  [[nodiscard]] std::optional<RaceAttempt> Winner() const noexcept
  {
    return mWinner;
  }
  [[nodiscard]] bool IsLoser(RaceAttempt aLane) const noexcept
  {
    return mWinner && *mWinner != aLane;
  }
  [[nodiscard]] bool HasHedge() const noexcept { return mHasHedge; }
  // Returns the attempt whose end is the end of the request: that of the
  // winner, or the last one when all have ended without an answer. Nothing
  // while the request goes on.
  [[nodiscard]] std::optional<RaceAttempt> FinalAttempt() const noexcept;

  // Adds the hedge; false when it is of no use any more.
  [[nodiscard]] bool AddHedge() noexcept;
  // Takes a piece of an answer; returns whether it may be passed on.
  [[nodiscard]] bool AcceptChunk(RaceAttempt aLane) noexcept;
  // Notes that an attempt has ended, in whatever way.
  void End(RaceAttempt aLane) noexcept;

private:
  [[nodiscard]] bool HasEnded(RaceAttempt aLane) const noexcept
  {
    return mEnded[static_cast<std::size_t>(aLane)];
  }

  std::optional<RaceAttempt> mWinner;
  RaceAttempt mLastEnded = RaceAttempt::First;
  std::array<bool, 2> mEnded{};
  bool mHasHedge = false;
};

} // namespace bilberrytrail
