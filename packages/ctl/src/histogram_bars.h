#pragma once

#include "json_text.h"

#include <string>

namespace bilberrytrail {

// Renders each series of a reply with its quantiles and one bar per range of
// durations.
[[nodiscard]] std::string
RenderHistogramBars(const Json& aJson);

} // namespace bilberrytrail
