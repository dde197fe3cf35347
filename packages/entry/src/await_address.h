#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/time.h>

#include <functional>

namespace bilberrytrail {

// Calls a function that takes an address until it succeeds, at most until a
// time; blocks the thread. Errors other than a taken address, Unavailable, are
// returned at once.
[[nodiscard]] Result<void>
AwaitAddress(const std::function<Result<void>()>& aTake, Instant aUntil);

} // namespace bilberrytrail
