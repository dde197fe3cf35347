#pragma once

#include "account_limit_service.h"
#include "request_context.h"

#include <memory>

namespace bilberrytrail {

// Returns the step that refuses requests above the limits of their client
// account with 429 and a time to come back.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeAccountLimitFilter(AccountLimitService& aLimits);

} // namespace bilberrytrail
