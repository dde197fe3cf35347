#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Returns a time in whole milliseconds, the unit of the servers' clock.
[[nodiscard]] inline std::int64_t
WholeMillis(Instant aTime) noexcept
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

// A part that a store added or removed.
struct CacheEvent
{
  bool mAdded = true;
  std::string mSalt;
  std::string mPart;
  // Sequence number among the events of the store's life.
  std::uint64_t mNumber = 0;
};

// Events of one store from a sequence number on.
struct CacheEvents
{
  // A new value after each restart of the store, which begins empty.
  std::uint64_t mEpoch = 0;
  // Sequence number of the next event to read.
  std::uint64_t mNext = 0;
  // Events since the requested number were dropped.
  bool mLost = false;
  // The servers' clock, which all servers and stores share, in milliseconds.
  std::optional<std::uint64_t> mClockMs;
  std::vector<CacheEvent> mEvents;
};

// Reads the events of a store VM. It only translates the protocol.
class CacheEventPort
{
public:
  virtual ~CacheEventPort() = default;

  // Returns the events from a sequence number on as soon as there are any, or
  // none after aWait.
  [[nodiscard]] virtual CallResult<CacheEvents> ReadEvents(
    const Endpoint& aStore,
    std::uint64_t aSince,
    Duration aWait,
    Duration aTimeout) = 0;
};

} // namespace bilberrytrail
