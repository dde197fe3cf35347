#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace bilberrytrail {

// Duration in microseconds, the unit of all computations with time.
using Duration = std::chrono::microseconds;

// Point on the monotonic clock of one process. Never sent to another process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// Virtual time of the calling thread, or null when it uses the real clock. Only
// a loop in virtual time sets it (LoopTime::Virtual).
// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
inline constinit thread_local const Instant* tVirtualNow = nullptr;

// Reads the monotonic clock. Decision code does not call it; the
// current time is passed to it.
[[nodiscard]] inline Instant
MonotonicNow() noexcept
{
  if (tVirtualNow != nullptr) [[unlikely]] {
    return *tVirtualNow;
  }
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

// Reads a monotonic clock that also counts the time for which the machine was
// suspended. Guarantees given to other processes, such as leases, need it.
[[nodiscard]] inline Instant
BootNow() noexcept
{
  if (tVirtualNow != nullptr) [[unlikely]] {
    return *tVirtualNow;
  }
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::seconds(now.tv_sec) +
                 std::chrono::duration_cast<Duration>(
                   std::chrono::nanoseconds(now.tv_nsec)));
}

// Reads the time of day in Unix milliseconds. It differs between machines and
// may jump.
[[nodiscard]] inline std::uint64_t
UnixMillisNow() noexcept
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

// Converts a duration to milliseconds, for messages and reports.
[[nodiscard]] constexpr double
ToMillis(Duration aLength) noexcept
{
  return static_cast<double>(aLength.count()) / 1000.0;
}

// Converts milliseconds to a duration.
[[nodiscard]] constexpr Duration
FromMillis(double aMillis) noexcept
{
  return Duration(static_cast<std::int64_t>(aMillis * 1000.0));
}

} // namespace bilberrytrail
