#pragma once

#include "request_world.h"

#include <string>
#include <vector>

namespace bilberrytrail {

// Returns one line for each property that the history of a run violates. The
// armed faults tell which answers must be whole.
[[nodiscard]] std::vector<std::string>
CheckHistory(CallPath aPath,
             const std::vector<Cell>& aFaults,
             const History& aHistory);

} // namespace bilberrytrail
