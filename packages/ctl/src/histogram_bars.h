#pragma once

#include "json_text.h"

#include <string>

namespace bilberrytrail {

// Returns each series of an answer with its quantiles and a bar per range of
// time.
[[nodiscard]] std::string
RenderHistogramBars(const Json& aJson);

} // namespace bilberrytrail
