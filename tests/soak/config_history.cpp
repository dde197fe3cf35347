#include "config_history.h"

#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>

namespace bilberrytrail::soak {

namespace {

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;

Json
RouteJson(const std::string& aName, const std::string& aPrefix)
{
  return { { "name", aName },      { "host", "h.example" },
           { "prefix", aPrefix },  { "route_type", "idempotent" },
           { "timeout_ms", 3000 }, { "target_latency_ms", 1000 },
           { "max_attempts", 2 } };
}

Json
TargetJson(const char* aService)
{
  return { { "service", aService }, { "weight", 1 } };
}

Json
MovingRoute(MovedTo aTo)
{
  auto route = RouteJson("m", "/move/");
  if (aTo == MovedTo::Both) {
    route["split"] = { TargetJson("east"), TargetJson("west") };
  } else {
    route["service"] = aTo == MovedTo::East ? "east" : "west";
  }
  return route;
}

std::string
KeyName(std::size_t aNumber)
{
  return "key-" + std::to_string(aNumber);
}

} // namespace

std::string
ConfigRequest::Target() const
{
  switch (mKind) {
    case Kind::Moving:
      return "/move/1";
    case Kind::Extra:
      return "/extra" + std::to_string(mExtra) + "/1";
    default:
      return "/read/1";
  }
}

bool
Handling::IsByConfig() const noexcept
{
  return mRanBy || mStatus == kUnauthorized || mStatus == kForbidden ||
         mStatus == kNotFound;
}

const ConfigVersion&
ConfigHistory::Add(Random& aRandom)
{
  auto version = mVersions.back();
  version.mNumber += 1 + aRandom.Below(3);
  auto& content = version.mContent;
  for (auto n = 1 + aRandom.Below(2); n > 0; --n) {
    switch (aRandom.Below(3)) {
      case 0:
        content.mMovedTo = static_cast<MovedTo>(
          (static_cast<unsigned>(content.mMovedTo) + 1 + aRandom.Below(2)) % 3);
        break;
      case 1:
        content.mExtraRoutes.flip(
          static_cast<std::size_t>(aRandom.Below(kExtraRoutes)));
        break;
      default:
        content.mKeys.flip(1 +
                           static_cast<std::size_t>(aRandom.Below(kKeys - 1)));
        break;
    }
  }
  version.mSentAt = MonotonicNow();
  version.mAcknowledgedAt = Instant::max();
  return mVersions.emplace_back(version);
}

std::string
ConfigHistory::ToText(const ConfigVersion& aVersion)
{
  const auto& content = aVersion.mContent;
  auto staying = RouteJson("r", "/read/");
  staying["service"] = "east";
  auto routes = Json::array({ staying, MovingRoute(content.mMovedTo) });
  for (std::size_t n = 0; n < kExtraRoutes; ++n) {
    if (content.mExtraRoutes[n]) {
      const auto name = "extra" + std::to_string(n);
      auto route = RouteJson(name, "/" + name + "/");
      route["service"] = "west";
      routes.push_back(std::move(route));
    }
  }
  auto keys = Json::array();
  for (std::size_t n = 0; n < kKeys; ++n) {
    if (content.mKeys[n]) {
      keys.push_back(KeyName(n));
    }
  }
  const Json config{
    { "version", aVersion.mNumber },
    { "routes", std::move(routes) },
    { "services", { { { "name", "east" } }, { { "name", "west" } } } },
    { "tenants", { { { "name", "wick" }, { "api_keys", std::move(keys) } } } }
  };
  return config.dump();
}

std::size_t
ConfigHistory::NewestAt(Instant ConfigVersion::*aTime, Instant aAt) const
{
  std::size_t newest = 0;
  for (std::size_t n = 0; n < mVersions.size(); ++n) {
    if (mVersions[n].*aTime <= aAt) {
      newest = n;
    }
  }
  return newest;
}

bool
ConfigHistory::Allows(std::size_t aVersion,
                      const ConfigRequest& aRequest,
                      const Handling& aHandling) const
{
  const auto& content = mVersions[aVersion].mContent;
  const bool hasRoute = aRequest.mKind != ConfigRequest::Kind::Extra ||
                        content.mExtraRoutes[aRequest.mExtra];
  const bool hasKey = content.mKeys[aRequest.mKey];
  if (!aHandling.mRanBy) {
    return aHandling.mStatus == kNotFound ? !hasRoute : !hasKey;
  }
  if (!hasRoute || !hasKey) {
    return false;
  }
  switch (aRequest.mKind) {
    case ConfigRequest::Kind::Extra:
      return aHandling.mRanBy == "west";
    case ConfigRequest::Kind::Staying:
      return aHandling.mRanBy == "east";
    default:
      return content.mMovedTo == MovedTo::Both ||
             *aHandling.mRanBy ==
               (content.mMovedTo == MovedTo::East ? "east" : "west");
  }
}

bool
ConfigHistory::AnyAllows(std::size_t aFirst,
                         std::size_t aLast,
                         const ConfigRequest& aRequest,
                         const Handling& aHandling) const
{
  for (auto n = aFirst; n <= aLast; ++n) {
    if (Allows(n, aRequest, aHandling)) {
      return true;
    }
  }
  return false;
}

} // namespace bilberrytrail::soak
