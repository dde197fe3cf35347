#pragma once

#include <bilberrytrail/platform/json_fields.h>

#include <cstdint>
#include <map>
#include <string>

namespace bilberrytrail::standins {

// Bookings of the order service. Booking the same order again books a second
// slot, as the call is not idempotent; the counts show such double runs.
class OrderBook
{
public:
  [[nodiscard]] std::uint64_t Slots() const noexcept { return mSlots; }
  // Returns how often the order was booked.
  [[nodiscard]] std::uint64_t RunsOf(const std::string& aOrder) const;
  // Returns the number of orders that were booked more than once.
  [[nodiscard]] std::uint64_t DoubleRuns() const;
  // Returns the runs by order.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Runs()
    const noexcept
  {
    return mRuns;
  }

  // Books a slot and returns its number.
  [[nodiscard]] std::uint64_t Book(const std::string& aOrder);

private:
  std::uint64_t mSlots = 0;
  std::map<std::string, std::uint64_t> mRuns;
};

} // namespace bilberrytrail::standins
