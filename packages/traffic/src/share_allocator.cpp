#include <bilberrytrail/traffic/account_limits.h>

#include <algorithm>
#include <vector>

namespace bilberrytrail {
namespace {

// Fraction of the unclaimed share that is divided evenly, so that demand can
// grow at any daemon; the rest is divided in proportion to demand.
constexpr double kEvenFraction = 0.5;

// See MakeWeightedShareAllocator.
class WeightedShareAllocator final : public ShareAllocator
{
public:
  WeightedShareAllocator(Duration aLease, Instant aNow)
    : mLease(aLease)
    , mGrantsFrom(aNow + aLease)
  {
  }

  ShareLease Renew(const DaemonId& aDaemon,
                   double aDemand,
                   Instant aNow) override
  {
    RemoveExpired(aNow);
    auto& holder = mHolders[aDaemon];
    holder.mDemand = std::max(0.0, aDemand);
    holder.mSeen = aNow;
    if (aNow < mGrantsFrom) {
      return {};
    }
    const double others = Outstanding(aNow) - InUse(holder, aNow);
    const double free = std::max(0.0, 1 - kFloorFraction - others);
    const double share = std::min(Target(holder), free);
    holder.mGranted.push_back({ share, aNow + mLease });
    return { share, mLease };
  }

  double Outstanding(Instant aNow) const override
  {
    double sum = 0;
    for (const auto& [id, holder] : mHolders) {
      sum += InUse(holder, aNow);
    }
    return sum;
  }

private:
  struct Granted
  {
    double mShare = 0;
    Instant mExpires;
  };
  struct Holder
  {
    double mDemand = 0;
    Instant mSeen;
    std::vector<Granted> mGranted;
  };

  // Returns the largest unexpired lease: the daemon may not have received a
  // later, smaller one.
  static double InUse(const Holder& aHolder, Instant aNow)
  {
    double most = 0;
    for (const auto& granted : aHolder.mGranted) {
      most = granted.mExpires > aNow ? std::max(most, granted.mShare) : most;
    }
    return most;
  }

  void RemoveExpired(Instant aNow)
  {
    for (auto& [id, holder] : mHolders) {
      std::erase_if(holder.mGranted, [&](const Granted& aGranted) {
        return aGranted.mExpires <= aNow;
      });
    }
    std::erase_if(mHolders, [&](const auto& aHolder) {
      return aNow - aHolder.second.mSeen >= 2 * mLease;
    });
  }

  // Returns the max-min fair share of the daemon, plus its part of the
  // unclaimed share.
  [[nodiscard]] double Target(const Holder& aHolder) const
  {
    std::vector<double> demands;
    demands.reserve(mHolders.size());
    for (const auto& [id, holder] : mHolders) {
      demands.push_back(holder.mDemand);
    }
    std::sort(demands.begin(), demands.end());
    double left = 1 - kFloorFraction;
    double total = 0;
    for (std::size_t n = 0; n < demands.size(); ++n) {
      const double equal = left / static_cast<double>(demands.size() - n);
      if (demands[n] > equal) {
        return std::min(aHolder.mDemand, equal);
      }
      left -= demands[n];
      total += demands[n];
    }
    const double even = 1 / static_cast<double>(demands.size());
    const double byDemand = total > 0 ? aHolder.mDemand / total : even;
    return aHolder.mDemand +
           left * (kEvenFraction * even + (1 - kEvenFraction) * byDemand);
  }

  Duration mLease;
  Instant mGrantsFrom;
  std::map<DaemonId, Holder> mHolders;
};

// See MakeEqualShareAllocator.
class EqualShareAllocator final : public ShareAllocator
{
public:
  EqualShareAllocator(std::size_t aDaemons, Duration aLease)
    : mShare(1 / static_cast<double>(std::max<std::size_t>(1, aDaemons)))
    , mLease(aLease)
  {
  }

  ShareLease Renew(const DaemonId& aDaemon,
                   double /*aDemand*/,
                   Instant aNow) override
  {
    mExpires[aDaemon] = aNow + mLease;
    return { mShare, mLease };
  }

  double Outstanding(Instant aNow) const override
  {
    const auto live =
      std::count_if(mExpires.begin(), mExpires.end(), [&](const auto& aHolder) {
        return aHolder.second > aNow;
      });
    return mShare * static_cast<double>(live);
  }

private:
  double mShare;
  Duration mLease;
  std::map<DaemonId, Instant> mExpires;
};

} // namespace

double
FloorShare(std::size_t aDaemons) noexcept
{
  return kFloorFraction /
         static_cast<double>(std::max<std::size_t>(1, aDaemons));
}

std::unique_ptr<ShareAllocator>
MakeWeightedShareAllocator(Duration aLease, Instant aNow)
{
  return std::make_unique<WeightedShareAllocator>(aLease, aNow);
}

std::unique_ptr<ShareAllocator>
MakeEqualShareAllocator(std::size_t aDaemons, Duration aLease)
{
  return std::make_unique<EqualShareAllocator>(aDaemons, aLease);
}

} // namespace bilberrytrail
