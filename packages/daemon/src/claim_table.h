#pragma once

#include "claim_gatherer.h"
#include "control_view.h"
#include "thread_context.h"

#include <bilberrytrail/runtime/rpc.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace bilberrytrail {

// The call by which a daemon hands a claim to its claim home.
inline constexpr std::string_view kClaimWriteMethod = "claim.write";

// Returns the claim home of a row: the daemon that gathers the writes of the
// row's slot. Empty when no daemon is known.
[[nodiscard]] DaemonId
ClaimHomeOf(std::string_view aRowKey,
            std::span<const HomeCandidate> aCandidates,
            std::uint32_t aSlots);

// Returns a table for one thread whose writes of single rows go through the
// row's claim home, one of ClaimHomeCount. When that cannot be reached the
// thread writes itself: the compare-and-set keeps it safe. All else goes to the
// thread's own table.
[[nodiscard]] std::unique_ptr<TableService>
MakeClaimTable(ThreadContext& aThread,
               const ControlViewHolder& aViews,
               ClaimGatherer& aGatherer,
               std::uint32_t aMostHomes);

// Serves claim.write on a fiber of the loop.
[[nodiscard]] Result<Json>
ServeClaimWrite(Loop& aLoop, ClaimGatherer& aGatherer, const Json& aParams);

// Writes and reads the result of claim.write.
[[nodiscard]] Json
ToJson(const CallResult<CommitOutcome>& aResult);
[[nodiscard]] CallResult<CommitOutcome>
ReadClaimResult(const Json& aJson);

} // namespace bilberrytrail
