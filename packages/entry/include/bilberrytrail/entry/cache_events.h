#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Returns a time as whole milliseconds, which the servers' clock counts in.
[[nodiscard]] inline std::int64_t
WholeMillis(Instant aTime) noexcept
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

// A change of what a store keeps.
struct CacheEvent
{
  bool mAdded = true;
  std::string mSalt;
  std::string mPart;
};

// Changes of one store since the last ones.
struct CacheEvents
{
  // Changes when the store starts anew, empty.
  std::uint64_t mEpoch = 0;
  // Number to ask for next.
  std::uint64_t mNext = 0;
  // Events between were dropped.
  bool mLost = false;
  // The servers' clock, which all servers and stores share, in milliseconds.
  std::optional<std::uint64_t> mClockMs;
  std::vector<CacheEvent> mEvents;
};

// Reads the events of a store VM. It translates and decides nothing.
class CacheEventPort
{
public:
  virtual ~CacheEventPort() = default;

  // Returns the events from a number on as soon as there are some, or none
  // after aWait.
  [[nodiscard]] virtual CallResult<CacheEvents> ReadEvents(
    const Endpoint& aStore,
    std::uint64_t aSince,
    Duration aWait,
    Duration aTimeout) = 0;
};

} // namespace bilberrytrail
