#pragma once

#include "fleet/fleet_server.h"

#include <bilberrytrail/base/endpoint.h>

#include <string>
#include <vector>

namespace bilberrytrail::standins {

// Returns the configuration of a small site: resumable streams under
// "/stream/" by the service "llm", calls that may run once under "/order/" and
// idempotent ones under "/read/" by the service "shop", and one client account
// with the keys.
[[nodiscard]] std::string
SmallSiteConfig(std::uint64_t aVersion, const std::vector<std::string>& aKeys);

// Returns a caller's request to that site; a prompt with these parts for
// "/stream/".
[[nodiscard]] HttpRequest
SmallSiteRequest(const std::string& aId,
                 const std::string& aTarget,
                 const std::string& aKey,
                 Duration aPatience,
                 const std::string& aParts = "a:10,b:10");

// Returns the row of a server.
[[nodiscard]] std::string
ServerRow(const FleetServer& aServer,
          const Endpoint& aEndpoint,
          const std::string& aService,
          const std::string& aState);

} // namespace bilberrytrail::standins
