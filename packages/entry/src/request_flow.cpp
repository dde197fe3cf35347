#include "request_run.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail {

void
RequestRun::Run()
{
  mView = mContext.mView();
  if (mView == nullptr || mView->mConfig == nullptr) {
    RefuseUnknownSite("This daemon has no configuration yet.");
    return;
  }
  if (!FindRoute() || !FindAccount() || !SetDeadline()) {
    return;
  }
  mSink.OnCallerGone([this] { mCancel.Cancel(); });
  mContext.mRetries.AddRequest(mService, mArrivedAt);
  mContext.mCounts.Add(Labels(), Counter::Requests);
  if (mRequest.mPrompt) {
    mParts = SharedPartKeys(*mRequest.mPrompt);
  }
  SendUntilAnswered();
}

bool
RequestRun::FindRoute()
{
  mRoute = mView->mRoutes->Find(mRequest.mHost, mRequest.mPassedOn.mTarget);
  const RouteTarget* target =
    mRoute == nullptr ? nullptr
                      : PickTarget(*mRoute, StableHash64(mRequest.mId.Text()));
  if (target != nullptr) {
    mService = target->mService;
    return true;
  }
  if (mContext.mIsViewFresh()) {
    Refuse(RefusalReason::NoRoute, "No route leads to this path.");
  } else {
    RefuseUnknownSite("The configuration may be older than this route.");
  }
  return false;
}

bool
RequestRun::FindAccount()
{
  if (mRoute->mAnonymous || mView->mAccounts->IsEmpty()) {
    return true;
  }
  mAccount = mView->mAccounts->Find(mRequest.mKey);
  if (mAccount != nullptr) {
    return true;
  }
  if (mContext.mIsViewFresh()) {
    Refuse(RefusalReason::Unauthorized, "No client account has this key.");
  } else {
    RefuseUnknownSite("The configuration may be older than this key.");
  }
  return false;
}

bool
RequestRun::SetDeadline()
{
  const auto waitLimit = mRequest.mWaitLimit.value_or(mRoute->mTimeout);
  mDeadline = mArrivedAt + std::min(waitLimit, mRoute->mTimeout);
  if (TimeLeft() >= kMinTimeLeft) {
    return true;
  }
  Refuse(RefusalReason::DeadlineTooShort, "The deadline leaves no time.");
  return false;
}

Duration
RequestRun::TimeLeft() const noexcept
{
  return mDeadline - MonotonicNow();
}

void
RequestRun::SendUntilAnswered()
{
  Next next = Next::Send;
  while (next == Next::Send) {
    if (mCancel.IsCancelled() || mSink.HasCallerLeft()) {
      EndCancelled();
      return;
    }
    if (TimeLeft() < kMinTimeLeft) {
      Refuse(RefusalReason::DeadlinePassed, "The deadline has passed.");
      return;
    }
    if (RefuseQuarantined() || !ChooseServer()) {
      return;
    }
    // The home's reply may have brought news.
    if (RefuseQuarantined()) {
      EndGrant(SendOutcome::Abandoned);
      return;
    }
    if (IsPastWeightsBound()) {
      // The choice took long.
      EndGrant(SendOutcome::Abandoned);
      continue;
    }
    next = SendOnce();
  }
}

void
RequestFlow::Handle(const CallerRequest& aRequest, CallerSink& aSink)
{
  RequestRun run(mContext, aRequest, aSink);
  if (mRefusesNew) {
    run.RefuseStopping();
    return;
  }
  mRuns.insert(&run);
  run.Run();
  mRuns.erase(&run);
}

void
RequestFlow::EndAll()
{
  RefuseNew();
  for (auto* it : mRuns) {
    it->Stop();
  }
}

} // namespace bilberrytrail
