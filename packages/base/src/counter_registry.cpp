#include <bilberrytrail/base/counter_registry.h>

namespace bilberrytrail {

CounterRegistry::CounterRegistry(std::size_t aMaxSeries) noexcept
  : mMaxSeries(aMaxSeries)
{
}

std::uint64_t
CounterRegistry::Value(const SeriesLabels& aLabels, Counter aCounter) const
{
  const std::scoped_lock lock(mMutex);
  const auto it = mValues.find({ aLabels, aCounter });
  return it == mValues.end() ? 0 : it->second;
}

std::vector<CounterSnapshot>
CounterRegistry::Snapshot() const
{
  const std::scoped_lock lock(mMutex);
  std::vector<CounterSnapshot> all;
  all.reserve(mValues.size());
  for (const auto& [key, value] : mValues) {
    all.push_back({ key.first, key.second, value });
  }
  return all;
}

void
CounterRegistry::Add(const SeriesLabels& aLabels,
                     Counter aCounter,
                     std::uint64_t aAmount)
{
  const std::scoped_lock lock(mMutex);
  const Key key{ aLabels, aCounter };
  if (const auto it = mValues.find(key); it != mValues.end()) {
    it->second += aAmount;
    return;
  }
  const bool isOther = aLabels == OtherLabels();
  if (!isOther && mOwnSeries >= mMaxSeries) {
    mValues[{ OtherLabels(), aCounter }] += aAmount;
    return;
  }
  mOwnSeries += isOther ? 0 : 1;
  mValues[key] = aAmount;
}

void
CounterRegistry::Merge(const CounterRegistry& aOther)
{
  for (const auto& one : aOther.Snapshot()) {
    Add(one.mLabels, one.mCounter, one.mValue);
  }
}

} // namespace bilberrytrail
