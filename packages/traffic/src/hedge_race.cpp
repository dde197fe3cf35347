#include <bilberrytrail/traffic/hedge_race.h>

namespace bilberrytrail {

std::optional<RaceLane>
HedgeRace::Decided() const noexcept
{
  if (mWinner) {
    return HasEnded(*mWinner) ? mWinner : std::nullopt;
  }
  const bool allEnded =
    HasEnded(RaceLane::First) && (!mHasHedge || HasEnded(RaceLane::Hedge));
  return allEnded ? std::optional(mLastEnded) : std::nullopt;
}

bool
HedgeRace::AddHedge() noexcept
{
  if (mHasHedge || mWinner || HasEnded(RaceLane::First)) {
    return false;
  }
  mHasHedge = true;
  return true;
}

bool
HedgeRace::TakePiece(RaceLane aLane) noexcept
{
  if (!mWinner && !HasEnded(aLane)) {
    mWinner = aLane;
  }
  return mWinner == aLane;
}

void
HedgeRace::End(RaceLane aLane) noexcept
{
  mEnded[static_cast<std::size_t>(aLane)] = true;
  mLastEnded = aLane;
}

} // namespace bilberrytrail
