#include "soak_plan.h"

#include <bilberrytrail/base/random.h>

namespace bilberrytrail::soak {

namespace {

constexpr std::uint64_t kMostPause = 500;
constexpr std::uint64_t kLeastLength = 200;
constexpr std::uint64_t kMostMoreLength = 1800;

} // namespace

std::vector<Action>
MakePlan(std::uint64_t aSeed, Duration aLength)
{
  Random random(aSeed);
  std::vector<Action> actions;
  const auto millis = [&](std::uint64_t aMost) {
    return std::chrono::milliseconds(random.Next() % aMost);
  };
  for (Duration at = millis(kMostPause); at < aLength;
       at += millis(kMostPause)) {
    Action action;
    action.mAt = at;
    action.mKind = AllOf<ActionKind>()[random.Next() % EnumCount<ActionKind>()];
    action.mTarget = static_cast<std::size_t>(random.Next());
    action.mLength =
      std::chrono::milliseconds(kLeastLength) + millis(kMostMoreLength);
    actions.push_back(action);
  }
  return actions;
}

} // namespace bilberrytrail::soak
