#pragma once

#include "load.h"
#include "site.h"

#include <cstddef>

namespace bilberrytrail::bench {

// Tokens of each answer.
inline constexpr std::uint32_t kAnswerTokens = 4;

// Starts the site and puts a release without limits of rate in force.
void
StartWithRelease(Site& aSite);

// Returns a call that sends a prompt of the given bytes to a daemon.
[[nodiscard]] TimedCall
Through(const Endpoint& aEntry, std::size_t aBytes);

// Returns a daemon that is home to no engine, or the last one.
[[nodiscard]] std::size_t
FindEntry(Site& aSite);

// Waits until the call succeeds; ends the program when it does not in time.
void
AwaitServing(Site& aSite, const TimedCall& aCall);

} // namespace bilberrytrail::bench
