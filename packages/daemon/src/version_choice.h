#pragma once

#include "server_locator.h"

#include <span>

namespace bilberrytrail {

// Longest predicted time to first token that a new request accepts from the
// weight version in force while other servers still have another one.
inline constexpr Duration kVersionPatience = 500ms;

// Returns the weight version that most of the servers serve instead of the one
// asked for, the smallest of several; empty when none does.
[[nodiscard]] VersionId
MostServedInstead(std::span<const ServerEstimate> aEstimates);

// Returns whether the servers of another weight version are worth asking.
[[nodiscard]] bool
IsSlowStart(const ServerChoice& aInForce) noexcept;

// Returns whether a new request starts so much sooner on the version served
// instead that it does not wait for the one in force.
[[nodiscard]] bool
IsWorthOldVersion(const ServerChoice& aInForce,
                  const ServerChoice& aInstead) noexcept;

} // namespace bilberrytrail
