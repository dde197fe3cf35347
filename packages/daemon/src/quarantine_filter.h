#pragma once

#include "quarantine_service.h"
#include "request_context.h"

#include <memory>

namespace bilberrytrail {

// Returns the step that refuses convicted completions at once.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeQuarantineFilter(const QuarantineService& aQuarantine);

} // namespace bilberrytrail
