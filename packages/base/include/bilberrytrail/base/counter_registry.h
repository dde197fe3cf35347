#pragma once

#include <bilberrytrail/base/series.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace bilberrytrail {

// Value of one counter at the time of a snapshot.
struct CounterSnapshot
{
  SeriesLabels mLabels;
  Counter mCounter = Counter::Requests;
  std::uint64_t mValue = 0;
};

// Counters per client account and class. Their number is bounded; amounts
// beyond the bound are added under OtherLabels(). Thread-safe.
class CounterRegistry
{
public:
  explicit CounterRegistry(std::size_t aMaxSeries) noexcept;

  // Returns the value of one counter; 0 when there is none.
  [[nodiscard]] std::uint64_t Value(const SeriesLabels& aLabels,
                                    Counter aCounter) const;
  // Returns all counters, ordered by labels.
  [[nodiscard]] std::vector<CounterSnapshot> Snapshot() const;

  void Add(const SeriesLabels& aLabels,
           Counter aCounter,
           std::uint64_t aAmount = 1);
  // Adds all counters of another registry.
  void Merge(const CounterRegistry& aOther);

private:
  using Key = std::pair<SeriesLabels, Counter>;

  std::size_t mMaxSeries;
  mutable std::mutex mMutex;
  std::map<Key, std::uint64_t> mValues;
  // Entries of mValues with labels other than OtherLabels().
  std::size_t mOwnSeries = 0;
};

} // namespace bilberrytrail
