#include "request_run.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail {

namespace {

// Longest wait for evidence before a refusal that rests on it, and before any
// request when the evidence is overdue.
constexpr Duration kEvidenceWait = 250ms;
// Evidence is overdue after the longest wait for changes with its margins, as
// when the VM was suspended.
constexpr Duration kOverdueEvidence = 3200ms;
// Share of the time within which a configuration must be in force that the
// evidence of a refusal may be old.
constexpr double kEvidenceShare = 0.75;

} // namespace

void
RequestRun::Run()
{
  // Without an answer the view serves on: the table service may be away.
  (void)mContext.mAwaitEvidence(mArrivedAtBoot - kOverdueEvidence,
                                kEvidenceWait);
  TakeView();
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

// Returns whether the view can be relied on for what it lacks, and takes the
// newest one.
bool
RequestRun::AwaitEvidence()
{
  const auto age = std::chrono::duration_cast<Duration>(mContext.mConfigWithin *
                                                        kEvidenceShare);
  const bool isKnown =
    mContext.mAwaitEvidence(mArrivedAtBoot - age, kEvidenceWait);
  TakeView();
  return isKnown && !mView->mIsConfigUnreadable;
}

void
RequestRun::TakeView()
{
  // The view that is loaded behind it may only be newer.
  mEvidence = mContext.mEvidence();
  mView = mContext.mView();
}

bool
RequestRun::LookUpRoute()
{
  mRoute = mView->mRoutes->Find(mRequest.mHost, mRequest.mPassedOn.mTarget);
  const RouteTarget* target =
    mRoute == nullptr ? nullptr
                      : PickTarget(*mRoute, StableHash64(mRequest.mId.Text()));
  if (target == nullptr) {
    return false;
  }
  mService = target->mService;
  return true;
}

bool
RequestRun::FindRoute()
{
  if (LookUpRoute()) {
    return true;
  }
  const bool isKnown = AwaitEvidence();
  if (LookUpRoute()) {
    return true;
  }
  if (isKnown) {
    Refuse(RefusalReason::NoRoute, "No route leads to this path.");
  } else {
    RefuseUnknownSite("The configuration may be older than this route.");
  }
  return false;
}

bool
RequestRun::LookUpAccount()
{
  if (mRoute->mAnonymous || mView->mAccounts->IsEmpty()) {
    return true;
  }
  mAccount = mView->mAccounts->Find(mRequest.mKey);
  return mAccount != nullptr;
}

bool
RequestRun::FindAccount()
{
  if (LookUpAccount()) {
    return true;
  }
  const bool isKnown = AwaitEvidence();
  // The route may be another one in a newer view.
  if (!FindRoute()) {
    return false;
  }
  if (LookUpAccount()) {
    return true;
  }
  if (isKnown) {
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
    mWatched.reset();
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
