#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bilberrytrail {

// The two attempts at a hedged request.
enum class RaceAttempt : unsigned char
{
  First,
  Hedge
};

// Decides which of two attempts answers a hedged request: the first one that
// sends a chunk of its answer. The other one has then lost, and none of its
// data may reach the caller. A response head does not count as a chunk, since
// an engine sends it before it computes.
//
//   HedgeRace race;
//   if (race.AddHedge()) { ... send it ... }
//   if (race.AcceptChunk(attempt)) { ... pass it on ... }
class HedgeRace
{
public:
  [[nodiscard]] std::optional<RaceAttempt> Winner() const noexcept
  {
    return mWinner;
  }
  [[nodiscard]] bool IsLoser(RaceAttempt aAttempt) const noexcept
  {
    return mWinner && *mWinner != aAttempt;
  }
  [[nodiscard]] bool HasHedge() const noexcept { return mHasHedge; }
  // Returns the attempt that ended the request: the winner, or the last one to
  // end when all ended without an answer. Returns nullopt while the request is
  // in progress.
  [[nodiscard]] std::optional<RaceAttempt> FinalAttempt() const noexcept;

  // Adds the hedge. Returns false when there is one already, or when the first
  // attempt has started to answer or has ended.
  [[nodiscard]] bool AddHedge() noexcept;
  // Records a chunk of an answer. Returns whether it may be passed on to the
  // caller.
  [[nodiscard]] bool AcceptChunk(RaceAttempt aAttempt) noexcept;
  // Records that an attempt has ended, for any reason.
  void End(RaceAttempt aAttempt) noexcept;

private:
  [[nodiscard]] bool HasEnded(RaceAttempt aAttempt) const noexcept
  {
    return mEnded[static_cast<std::size_t>(aAttempt)];
  }

  std::optional<RaceAttempt> mWinner;
  RaceAttempt mLastEnded = RaceAttempt::First;
  std::array<bool, 2> mEnded{};
  bool mHasHedge = false;
};

} // namespace bilberrytrail
