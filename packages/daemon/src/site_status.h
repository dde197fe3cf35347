#pragma once

#include "control_view.h"
#include "home_service.h"
#include "thread_context.h"

#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

// Returns rows on the backend servers that this daemon is home to, as
// docs/PROTOCOL-OPERATOR.md has them under "servers".
[[nodiscard]] Json
DescribeHomedServers(const ControlView& aView, HomeService& aHomes);

// Returns rows on all backend servers: asks every daemon for those that it is
// home to. Servers whose home does not answer in time have the state
// "unknown". Call on a fiber of the thread.
[[nodiscard]] Json
DescribeAllServers(const ControlView& aView,
                   HomeService& aHomes,
                   ThreadContext& aThread);

// Returns metrics of the stores that this daemon plans transfers for, as lines
// 'name{label="value"} number'.
[[nodiscard]] std::string
StoreMetricsText(HomeService& aHomes);

} // namespace bilberrytrail
