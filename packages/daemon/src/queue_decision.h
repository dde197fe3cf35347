#pragma once

#include "home_queue.h"
#include "peer_channel.h"

#include <bilberrytrail/runtime/loop.h>

#include <optional>
#include <variant>

namespace bilberrytrail {

// What the queue decided about a request that waits for a Wanted action.
template<class Wanted>
using QueueDecision = std::variant<Wanted, RefuseAction>;

// Waits on the calling fiber until the queue acts as wanted or refuses.
// Returns nothing once nobody wants the answer any more or the loop stops.
template<class Wanted>
[[nodiscard]] std::optional<QueueDecision<Wanted>>
AwaitDecision(QueuePlace& aPlace, FrameSink& aSink, Loop& aLoop)
{
  // How often it is checked that the caller is still there.
  constexpr Duration kCallerCheckPeriod = 100ms;
  while (true) {
    const auto action = aPlace.Next(kCallerCheckPeriod);
    if (!aSink.IsOpen() || aLoop.IsStopping()) {
      return std::nullopt;
    }
    if (!action) {
      continue;
    }
    if (const auto* refusal = std::get_if<RefuseAction>(&*action)) {
      return *refusal;
    }
    if (const auto* wanted = std::get_if<Wanted>(&*action)) {
      return *wanted;
    }
  }
}

} // namespace bilberrytrail
