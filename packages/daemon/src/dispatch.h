#pragma once

#include "answer_writer.h"
#include "home_service.h"
#include "request_context.h"
#include "server_locator.h"

#include <bilberrytrail/settings/daemon_settings.h>
#include <bilberrytrail/traffic/hedge_policy.h>

#include <memory>

// The last filter of the pipeline: chooses servers, forwards the request to
// their homes, relays the answer, and retries or resumes.
namespace bilberrytrail {

// What the dispatchers of one traffic thread share.
struct DispatchParts
{
  const DaemonSettings& mSettings;
  HomeService& mHomes;
  ServerLocator& mLocator;
  ExtraWorkBudget& mBudget;
  RetryPolicy& mRetries;
  HedgePolicy& mHedges;
  WorkEstimator& mEstimator;
};

// Dispatches completions to engines.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeCompletionDispatcher(const DispatchParts& aParts);

// Dispatches calls of plain services.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeServiceDispatcher(const DispatchParts& aParts);

// How one attempt at a home ended.
struct AttemptEnd
{
  // The home or the way to it stated that nothing ran.
  bool mNotRun = false;
  RefusalReason mReason = RefusalReason::ServerFailed;
  std::string mText;
  Duration mRetryAfter{};
  // The home sent the request back, as the entry had not asked.
  bool mIsSentBack = false;

  // Returns the reason to give to the caller: when the last server did not
  // run the request, no server is left that takes it.
  [[nodiscard]] RefusalReason CallerReason() const noexcept
  {
    return mNotRun && mReason == RefusalReason::ServerFailed
             ? RefusalReason::NoServer
             : mReason;
  }
  // Notes the frame that ended the attempt without an answer.
  void Take(const HomeFrame& aFrame)
  {
    mReason = aFrame.mReason;
    mText = aFrame.mText;
    mRetryAfter = aFrame.mRetryAfter;
    mIsSentBack = aFrame.mIsSentBack;
  }
  // Notes that the home never saw the attempt; aNotRun by the ledger.
  void TakeUnreachable(bool aNotRun)
  {
    mNotRun = aNotRun;
    mReason = RefusalReason::Draining;
    mText = "the server's home could not be reached";
  }
  // Returns whether nothing ran because the server's home stops, moved or
  // could not be reached: the server itself may be chosen again.
  [[nodiscard]] bool IsHomeLost() const noexcept
  {
    return mNotRun && mReason == RefusalReason::Draining;
  }
};

// Pause before a server is chosen whose home was lost.
inline constexpr Duration kHomeLostPause = 50ms;

// Sends a request to the home of its server, in this process or in another,
// and passes its frames to the sink. Returns what is known when the frames
// end; the NotRun and Broken frames are passed to the sink as well.
[[nodiscard]] Result<void, HttpError>
RunAtHome(ThreadContext& aThread,
          const ControlView& aView,
          HomeService& aHomes,
          const HomeRequest& aRequest,
          FrameSink& aSink);

} // namespace bilberrytrail
