#include "soak_plan.h"

#include <bilberrytrail/base/random.h>

namespace bilberrytrail::soak {

namespace {

// The kinds before those that only the play of configurations has.
constexpr std::size_t kSiteKinds =
  static_cast<std::size_t>(ActionKind::NewWeights) + 1;
constexpr Duration kMostPause = 500ms;
constexpr Duration kLeastLength = 200ms;
constexpr Duration kMostLength = 2s;

} // namespace

std::vector<Action>
MakePlan(std::uint64_t aSeed, Duration aLength, const PlanShape& aShape)
{
  Random random(aSeed);
  std::vector<Action> actions;
  const auto below = [&](Duration aMost) {
    const auto millis = static_cast<std::uint64_t>(ToMillis(aMost));
    return std::chrono::milliseconds(random.Next() % millis);
  };
  for (Duration at = below(aShape.mMostPause); at < aLength;
       at += below(aShape.mMostPause)) {
    Action action;
    action.mAt = at;
    action.mKind = aShape.mKinds[random.Next() % aShape.mKinds.size()];
    action.mTarget = static_cast<std::size_t>(random.Next());
    action.mLength =
      aShape.mLeastLength + below(aShape.mMostLength - aShape.mLeastLength);
    actions.push_back(action);
  }
  return actions;
}

std::vector<Action>
MakePlan(std::uint64_t aSeed, Duration aLength)
{
  static constexpr auto kKinds = AllOf<ActionKind>();
  return MakePlan(aSeed,
                  aLength,
                  { std::span(kKinds).first(kSiteKinds),
                    kMostPause,
                    kLeastLength,
                    kMostLength });
}

} // namespace bilberrytrail::soak
