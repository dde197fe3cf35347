#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/json_fields.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberrytrail::standins {

// How the calls of one part of a program go wrong.
enum class FaultMode : unsigned char
{
  // No fault.
  Up,
  // The connection is cut before the call takes effect.
  Down,
  // The call takes effect after a delay.
  Slow,
  // The call takes effect, then the connection is cut.
  LoseReplies,
  // The call is refused with 503 and Not-Run.
  Refuse,
  // The call takes effect, then the process exits without a reply.
  Die,
  // The call fails with 500 without effect.
  Fail,
  // No space is left (stores).
  Full,
  // Bytes read are not the bytes written (stores).
  Corrupt
};

} // namespace bilberrytrail::standins

template<>
struct bilberrytrail::EnumNames<bilberrytrail::standins::FaultMode>
{
  static constexpr std::array<std::string_view, 9> kNames{
    "up",  "down", "slow", "lose_replies", "refuse",
    "die", "fail", "full", "corrupt"
  };
};

namespace bilberrytrail::standins {

// The fault that applies to one call.
struct Fault
{
  FaultMode mMode = FaultMode::Up;
  Duration mDelay{};
};

// Fault of one part of a program, for all calls or for a number of them.
class FaultSwitch
{
public:
  // Sets the fault for the next aCount calls, or for all calls when it is 0.
  void Set(const Fault& aFault, std::uint64_t aCount);
  // Returns the fault for one call and counts it.
  [[nodiscard]] Fault Take();

private:
  Fault mFault;
  std::uint64_t mRemaining = 0;
};

// The fault switches of a program by the name of the part.
class FaultTable
{
public:
  explicit FaultTable(const std::vector<std::string>& aParts);

  [[nodiscard]] FaultSwitch& Of(const std::string& aPart);

  // Sets switches from {"PART": "MODE", ..., "delay_ms": N, "count": N}.
  // Fails with InvalidInput, changing nothing, when a name is unknown.
  [[nodiscard]] Result<void> Set(const Json& aJson);

private:
  std::map<std::string, FaultSwitch> mParts;
};

} // namespace bilberrytrail::standins
