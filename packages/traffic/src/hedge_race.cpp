#include <bilberrytrail/traffic/hedge_race.h>

namespace bilberrytrail {

std::optional<RaceAttempt>
HedgeRace::FinalAttempt() const noexcept
{
  if (mWinner) {
    return HasEnded(*mWinner) ? mWinner : std::nullopt;
  }
  const bool allEnded = HasEnded(RaceAttempt::First) &&
                        (!mHasHedge || HasEnded(RaceAttempt::Hedge));
  return allEnded ? std::optional(mLastEnded) : std::nullopt;
}

bool
HedgeRace::AddHedge() noexcept
{
  if (mHasHedge || mWinner || HasEnded(RaceAttempt::First)) {
    return false;
  }
  mHasHedge = true;
  return true;
}

bool
HedgeRace::AcceptChunk(RaceAttempt aLane) noexcept
{
  if (!mWinner && !HasEnded(aLane)) {
    mWinner = aLane;
  }
  return mWinner == aLane;
}

void
HedgeRace::End(RaceAttempt aLane) noexcept
{
  mEnded[static_cast<std::size_t>(aLane)] = true;
  mLastEnded = aLane;
}

} // namespace bilberrytrail
