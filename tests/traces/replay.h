#pragma once

#include "trace.h"

#include <map>
#include <string>

namespace bilberrytrail {

// Runs a trace through the queue, planner, directory, claim and quarantine
// modules in virtual time. Returns what came of it under the names that a
// trace's outcome uses, without "_max" and "_min".
[[nodiscard]] std::map<std::string, double>
ReplayTrace(const Trace& aTrace);

} // namespace bilberrytrail
