#pragma once

#include "home_service.h"
#include "request_context.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/cache/prefix_planner.h>
#include <bilberrytrail/cache/prompt_blocks.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace bilberrytrail {

// Where a request runs, and what its home said about it.
struct ServerChoice
{
  ServerId mServer;
  PrefixPlan mPlan;
  // Chosen by what homes said before.
  bool mIsUnasked = false;
};

// Chooses the server of a request on one traffic thread. For a request without
// kept blocks: one that this daemon is home to and that has room, else one
// that had room a moment ago. Else it asks the homes
// of some candidates for fresh estimates and takes the least time to the first
// token.
class ServerLocator
{
public:
  ServerLocator(HomeService& aHomes, std::uint64_t aSeed);

  // Returns the choice among servers not tried yet; nothing when none of
  // those asked can serve the request now.
  [[nodiscard]] std::optional<ServerChoice> Choose(
    RequestContext& aContext,
    const PromptBlocks& aBlocks,
    const std::set<ServerId>& aTried);

  // Returns the weight version that most servers asked by the last choice serve
  // instead of the one asked for; empty when none does.
  [[nodiscard]] const VersionId& ServedInstead() const noexcept
  {
    return mServedInstead;
  }

  // Returns whether there is a usable server that was not tried.
  [[nodiscard]] static bool HasOther(const RequestContext& aContext,
                                     const std::set<ServerId>& aTried);

private:
  // Returns one of the servers with room that this daemon is home to, for
  // requests without kept blocks.
  [[nodiscard]] std::optional<ServerChoice> ChooseHeld(
    const RequestContext& aContext,
    const PromptBlocks& aBlocks,
    const std::set<ServerId>& aTried);
  [[nodiscard]] static EstimateQuery QueryOf(const RequestContext& aContext,
                                             const PromptBlocks& aBlocks);
  // Returns a choice that needs no asking, for requests that run at most once
  // more when their home turns out to be frozen.
  [[nodiscard]] std::optional<ServerChoice> ChooseKnown(
    const RequestContext& aContext,
    const PromptBlocks& aBlocks,
    const std::set<ServerId>& aTried);
  // Returns the servers that the request may run on; they live as long as the
  // view that it is routed by.
  [[nodiscard]] static const std::vector<ServerId>& Usable(
    const RequestContext& aContext);
  // Returns the others of the servers; none are named while none was tried.
  [[nodiscard]] static std::vector<ServerId> Untried(
    const std::vector<ServerId>& aUsable,
    const std::set<ServerId>& aTried);
  [[nodiscard]] PromptLocations Locate(RequestContext& aContext,
                                       const PromptBlocks& aBlocks);
  [[nodiscard]] std::vector<ServerEstimate> Ask(
    RequestContext& aContext,
    const PromptBlocks& aBlocks,
    const std::vector<ServerId>& aServers);
  [[nodiscard]] std::optional<ServerChoice> Plan(
    RequestContext& aContext,
    const PromptBlocks& aBlocks,
    const std::vector<ServerEstimate>& aEstimates,
    const PromptLocations& aWhere);

  HomeService& mHomes;
  Random mRandom;
  std::unique_ptr<PrefixPlanner> mPlanner;
  VersionId mServedInstead;
};

} // namespace bilberrytrail
