#include "orders/order_book.h"

#include <algorithm>

namespace bilberrytrail::standins {

std::uint64_t
OrderBook::RunsOf(const std::string& aOrder) const
{
  const auto it = mRuns.find(aOrder);
  return it == mRuns.end() ? 0 : it->second;
}

std::uint64_t
OrderBook::DoubleRuns() const
{
  return static_cast<std::uint64_t>(
    std::count_if(mRuns.begin(), mRuns.end(), [](const auto& aRun) {
      return aRun.second > 1;
    }));
}

std::uint64_t
OrderBook::Book(const std::string& aOrder)
{
  ++mRuns[aOrder];
  return ++mSlots;
}

} // namespace bilberrytrail::standins
