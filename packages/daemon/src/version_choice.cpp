#include "version_choice.h"

#include <algorithm>
#include <map>

namespace bilberrytrail {

VersionId
MostServedInstead(std::span<const ServerEstimate> aEstimates)
{
  std::map<VersionId, std::size_t> servers;
  for (const auto& it : aEstimates) {
    if (!it.mServedInstead.IsEmpty()) {
      ++servers[it.mServedInstead];
    }
  }
  const auto most = std::max_element(
    servers.begin(), servers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return most == servers.end() ? VersionId() : most->first;
}

bool
IsSlowStart(const ServerChoice& aInForce) noexcept
{
  return aInForce.mPlan.mTimeToFirstToken > kVersionPatience;
}

bool
IsWorthOldVersion(const ServerChoice& aInForce,
                  const ServerChoice& aInstead) noexcept
{
  return aInstead.mPlan.mTimeToFirstToken + kVersionPatience <
         aInForce.mPlan.mTimeToFirstToken;
}

} // namespace bilberrytrail
