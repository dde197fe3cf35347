#pragma once

#include "request_context.h"

#include <bilberrytrail/settings/daemon_settings.h>

#include <memory>

// The filters that each request passes before it is dispatched, in order.
namespace bilberrytrail {

// Refuses new work while the daemon is not ready or drains.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeReadinessFilter();

// Finds the client account of the bearer token.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeAuthenticateFilter();

// Sets the deadline from the header X-Deadline-Ms.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeDeadlineFilter(const DaemonSettings& aSettings);

// Reads the path and the body into a completion or a service request.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeParseFilter();

// Fixes the weight version and estimates the size of the work.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeEstimateFilter(WorkEstimator& aEstimator);

} // namespace bilberrytrail
