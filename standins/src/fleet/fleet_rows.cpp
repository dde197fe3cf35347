#include "fleet/fleet_rows.h"

#include <bilberrytrail/platform/json_fields.h>

namespace bilberrytrail::standins {

namespace {

Json
RouteJson(const char* aName,
          const char* aPrefix,
          const char* aType,
          const char* aService,
          bool aIsResumable)
{
  return { { "name", aName },
           { "host", "h.example" },
           { "prefix", aPrefix },
           { "route_type", aType },
           { "timeout_ms", 5000 },
           { "target_latency_ms", 1000 },
           { "priority", 1 },
           { "service", aService },
           { "max_attempts", 2 },
           { "anonymous", false },
           { "resumable", aIsResumable } };
}

} // namespace

std::string
SmallSiteConfig(std::uint64_t aVersion, const std::vector<std::string>& aKeys)
{
  const Json config{
    { "version", aVersion },
    { "routes",
      { RouteJson("s", "/stream/", "streaming", "llm", true),
        RouteJson("o", "/order/", "non_idempotent", "shop", false),
        RouteJson("r", "/read/", "idempotent", "shop", false) } },
    { "services", { { { "name", "llm" } }, { { "name", "shop" } } } },
    { "tenants", { { { "name", "wick" }, { "api_keys", aKeys } } } }
  };
  return config.dump();
}

HttpRequest
SmallSiteRequest(const std::string& aId,
                 const std::string& aTarget,
                 const std::string& aKey,
                 Duration aPatience,
                 const std::string& aParts)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mBody = "body of " + aId;
  const auto millis = static_cast<std::int64_t>(ToMillis(aPatience));
  request.mHeaders = { { "Host", "h.example" },
                       { "Bilberrytrail-Request-Id", aId },
                       { "Bilberrytrail-Credential", aKey },
                       { "Bilberrytrail-Tenant", "forged" },
                       { "Bilberrytrail-Deadline-Ms",
                         std::to_string(millis) } };
  if (aTarget.starts_with("/stream/")) {
    request.mHeaders.push_back({ "Bilberrytrail-Model", "m" });
    request.mHeaders.push_back({ "Bilberrytrail-Token-Usage", "20,5" });
    request.mHeaders.push_back({ "Bilberrytrail-Prompt-Prefix", aParts });
  }
  return request;
}

std::string
ServerRow(const FleetServer& aServer,
          const Endpoint& aEndpoint,
          const std::string& aService,
          const std::string& aState)
{
  const Json row{
    { "service", aService },
    { "address", ToText(aEndpoint) },
    { "zone", "z" },
    { "slots", 8 },
    { "state", aState },
    { "born", aServer.StartedAtMs() },
    { "models", { { { "name", "m" }, { "version", aServer.Weights() } } } }
  };
  return row.dump();
}

} // namespace bilberrytrail::standins
