#include <bilberrytrail/entry/server_load.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Weights of a sample above and below the baseline.
constexpr double kLongerWeight = 0.02;
constexpr double kShorterWeight = 0.1;
// Weight of a new prompt in the average size of its kind.
constexpr double kSizeWeight = 0.02;

} // namespace

ServerLoad::Work
ServerLoad::LeftAt(Instant aNow) const noexcept
{
  Work left = mWork;
  double done = mSpeed * ToMillis(std::max(aNow - mAt, Duration(0)));
  for (auto& it : left) {
    const double part = std::min(it, done);
    it -= part;
    done -= part;
  }
  return left;
}

double
ServerLoad::WorkAhead(unsigned aRank, Instant aNow) const noexcept
{
  const auto left = LeftAt(aNow);
  double work = 0;
  for (std::size_t n = 0; n <= aRank && n < kRanks; ++n) {
    work += left[n];
  }
  return work;
}

void
ServerLoad::SetSpeed(double aSpeed, Instant aNow) noexcept
{
  mWork = LeftAt(aNow);
  mAt = aNow;
  mSpeed = aSpeed;
}

void
ServerLoad::Add(unsigned aRank, double aTokens, Instant aNow) noexcept
{
  mWork = LeftAt(aNow);
  mAt = aNow;
  mWork[std::min<std::size_t>(aRank, kRanks - 1)] += aTokens;
}

void
ServerLoad::Remove(unsigned aRank, double aTokens, Instant aNow) noexcept
{
  mWork = LeftAt(aNow);
  mAt = aNow;
  auto& work = mWork[std::min<std::size_t>(aRank, kRanks - 1)];
  work = std::max(0.0, work - aTokens);
}

void
BaselineTime::Note(Duration aBeyond) noexcept
{
  const auto beyond = std::max(aBeyond, Duration(0));
  if (!mHasAny) {
    mHasAny = true;
    mBaseline = beyond;
    return;
  }
  const double weight = beyond > mBaseline ? kLongerWeight : kShorterWeight;
  mBaseline += FromMillis(weight * ToMillis(beyond - mBaseline));
}

void
AverageTokens::Note(double aTokens) noexcept
{
  mAverage =
    mAverage == 0 ? aTokens : mAverage + kSizeWeight * (aTokens - mAverage);
}

void
RecentParts::Use(std::uint64_t aPart, double aTokens, double aCapacity)
{
  const auto it = mPlaces.find(aPart);
  if (it != mPlaces.end()) {
    mTokens -= it->second->mTokens;
    mParts.erase(it->second);
    mPlaces.erase(it);
  }
  mParts.push_front({ aPart, aTokens });
  mPlaces[aPart] = mParts.begin();
  mTokens += aTokens;
  while (mTokens > aCapacity && mParts.size() > 1) {
    mTokens -= mParts.back().mTokens;
    mPlaces.erase(mParts.back().mId);
    mParts.pop_back();
  }
}

} // namespace bilberrytrail
