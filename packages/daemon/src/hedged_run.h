#pragma once

#include "home_service.h"
#include "request_context.h"

#include <bilberrytrail/traffic/hedge_policy.h>
#include <bilberrytrail/traffic/hedge_race.h>

#include <array>
#include <memory>
#include <optional>

namespace bilberrytrail {

// The request to which a hedged run belongs.
class HedgeOwner
{
public:
  virtual ~HedgeOwner() = default;

  // Returns the servers that could serve the request.
  [[nodiscard]] virtual std::vector<ServerId> Candidates() const = 0;
  // Returns the request of a second attempt at another server; nothing when no
  // server takes it. May wait.
  [[nodiscard]] virtual std::optional<HomeRequest> MakeHedge() = 0;
  // Returns the receiver of the hedge's frames. Called after MakeHedge.
  [[nodiscard]] virtual FrameSink& HedgeSink() = 0;
  // The hedge has begun to answer, before its first piece is passed on.
  virtual void OnHedgeWins() = 0;
};

// How a hedged run ended.
struct HedgedEnd
{
  // The attempt whose end is that of the run.
  RaceAttempt mLane = RaceAttempt::First;
  bool mHasHedge = false;
  // Whether each attempt was never seen by its home; false while it runs on.
  std::array<bool, 2> mNotSent{};
  // Whether each attempt has ended by itself, not as the loser.
  std::array<bool, 2> mEnded{};
};

// Runs an attempt at the home of its server and, once it is overdue, a second
// one beside it. Frames go to the sink of their own attempt; after one of the
// two has begun to answer, no frame of the other reaches its sink, and it is
// cancelled. Returns when the answering attempt has ended, or both have.
[[nodiscard]] HedgedEnd
RunHedged(RequestContext& aContext,
          HomeService& aHomes,
          HedgePolicy& aPolicy,
          const HedgeQuery& aQuery,
          HomeRequest aRequest,
          FrameSink& aSink,
          HedgeOwner& aOwner);

} // namespace bilberrytrail
