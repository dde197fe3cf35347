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
HedgeRace::AcceptChunk(RaceAttempt aAttempt) noexcept
{
  if (!mWinner && !HasEnded(aAttempt)) {
    mWinner = aAttempt;
  }
  return mWinner == aAttempt;
}

void
HedgeRace::End(RaceAttempt aAttempt) noexcept
{
  mEnded[static_cast<std::size_t>(aAttempt)] = true;
  mLastEnded = aAttempt;
}

} // namespace bilberrytrail
