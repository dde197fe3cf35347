#include "request_run.h"

#include <bilberrytrail/entry/admission.h>
#include <bilberrytrail/entry/return_places.h>

#include <bilberrytrail/base/digest.h>

#include <algorithm>
#include <cmath>

// Choice of the server of a request, and the call to it.

namespace bilberrytrail {

namespace {

// Connect timeout, as a share of the objective and in bounds: within a region a
// connection opens in a few milliseconds.
constexpr double kConnectTimeShare = 0.5;
constexpr Duration kMinConnectTime = 50ms;
constexpr Duration kMaxConnectTime = 400ms;
// When kept KV cache cannot be read within this share of the objective, the
// server gives up the read and processes the prompt itself.
constexpr double kCacheReadShare = 0.6;
// Servers with older weights get no requests for this long before the bound:
// requests wait so long at a server before they begin, and rarely longer.
constexpr Duration kOldWeightsReserve = 1500ms;
// Allowance for the way of a request to its server.
constexpr Duration kTransitAllowance = 200ms;
// A server on which a request could not begin within this time gets none.
constexpr Duration kMinBeginTime = 100ms;
// Retry-After while no server has weights that are new enough: loading them
// takes seconds.
constexpr Duration kWeightsRetryAfter = 1s;
// Work of writing one token, in tokens read.
constexpr double kOutputTokenWork = 4;
// Bounds the size of a placement request. A grant of an avoided server that is
// left out is dropped.
constexpr std::size_t kMaxAvoidedInQuery = 32;

} // namespace

double
RequestRun::Work() const noexcept
{
  if (!mRequest.mPrompt) {
    return 1;
  }
  const auto& prompt = *mRequest.mPrompt;
  const auto shared = prompt.SharedTokens();
  const auto own =
    prompt.mInputTokens > shared ? prompt.mInputTokens - shared : 0;
  return static_cast<double>(own) +
         kOutputTokenWork *
           std::sqrt(static_cast<double>(prompt.mMaxOutputTokens));
}

unsigned
RequestRun::Rank() const noexcept
{
  const auto rank = mAccount != nullptr && mAccount->mPriority
                      ? *mAccount->mPriority
                      : mRoute->mPriority;
  return std::min<unsigned>(rank, kRanks - 1);
}

std::uint64_t
RequestRun::NewestWeights() const
{
  if (!mRequest.mPrompt) {
    return 0;
  }
  return mSendView->mWeights.Newest(mRequest.mPrompt->mModel);
}

ServerQuery
RequestRun::MakeQuery() const
{
  ServerQuery query;
  query.mService = mService;
  query.mObjective = mRoute->mObjective;
  query.mRank = Rank();
  // The homes don't know which servers this daemon avoids.
  query.mTried = mContext.mAvoided.Some(kMaxAvoidedInQuery, MonotonicNow());
  query.mTried.insert(query.mTried.end(), mTried.begin(), mTried.end());
  query.mWork = Work();
  if (mRequest.mPrompt) {
    const auto& prompt = *mRequest.mPrompt;
    query.mModel = prompt.mModel;
    query.mKind = StableHash64(mRoute->mName);
    query.mMemory = static_cast<double>(prompt.mInputTokens);
    if (const auto* service = mView->FindService(mService)) {
      query.mServerMemory = static_cast<double>(service->mCacheTokens);
    }
    query.mNewestVersion = NewestWeights();
    query.mLeastVersion = mSendView->mWeights.LeastAllowed(
      prompt.mModel, mContext.mWeightsWithin - kOldWeightsReserve, BootNow());
    if (const auto* part = prompt.LastSharedPart()) {
      query.mAffinity = StableHash64(part->mId);
      query.mSharedTokens = static_cast<double>(prompt.SharedTokens());
      query.mMissWork = mContext.mCache.MissWork(
        prompt, CacheSalt(query.mNewestVersion), BootNow());
    }
  }
  return query;
}

bool
RequestRun::ChooseServer()
{
  mSendView = mContext.mView();
  mQuery = MakeQuery();
  mIsByHome = false;
  if (const auto delay = PauseDelay()) {
    RefusePaused(*delay);
    return false;
  }
  if (const auto hasServer = ChooseByHome()) {
    return *hasServer;
  }
  const auto choice = mContext.mPool.Choose(mQuery, MonotonicNow());
  if (!choice) {
    if (const auto delay = mContext.mPool.LimitDelay(mQuery, MonotonicNow())) {
      RefuseLimited(*delay);
      return false;
    }
    RefuseUnserved();
    return false;
  }
  mChoice = *choice;
  const bool isAdmitting = mRequest.mPrompt && mSends == 0;
  if (isAdmitting) {
    const auto wait = RefusePrompt(
      mChoice.mAdmissionTime, mRoute->mObjective, AdmissionSettings());
    if (wait) {
      RefuseLate(*wait);
      return false;
    }
  }
  mContext.mGate.Take(mChoice.mServer, MonotonicNow());
  return true;
}

std::optional<bool>
RequestRun::ChooseByHome()
{
  mGrant.reset();
  if (mContext.mPlacer == nullptr) {
    return std::nullopt;
  }
  const auto reply = mContext.mPlacer->Place(
    mQuery, StableHash64(mRequest.mId.Text()), TimeLeft(), mSends > 0);
  if (!reply) {
    return std::nullopt;
  }
  if (reply->mOutcome == PlacementOutcome::Busy) {
    mChoice = ChosenServer();
    mChoice.mTime = reply->mTime;
    mChoice.mCandidates = reply->mCandidates;
    RefuseLate(
      std::clamp(reply->mTime, ReturnPlaces::kLeast, ReturnPlaces::kMost));
    return false;
  }
  if (reply->mOutcome == PlacementOutcome::Limited) {
    RefuseLimited(reply->mTime);
    return false;
  }
  if (reply->mOutcome != PlacementOutcome::Granted) {
    return std::nullopt;
  }
  mGrant = reply->mTicket;
  mIsByHome = true;
  // The home's view of the site may be outdated: check the server against this
  // daemon's own view.
  const auto it =
    std::ranges::find(mSendView->mServers, reply->mServer, &ServerRecord::mId);
  const bool isUsable = it != mSendView->mServers.end() &&
                        it->mService == mService && !it->mIsLeaving &&
                        !it->mIsEvacuated &&
                        reply->mWeightVersion >= mQuery.mLeastVersion &&
                        std::ranges::find(mTried, it->mId) == mTried.end() &&
                        !mContext.mAvoided.Contains(it->mId, MonotonicNow());
  if (!isUsable) {
    EndGrant(SendOutcome::Abandoned);
    mIsByHome = false;
    return std::nullopt;
  }
  mChoice = { it->mId,         it->mEndpoint,
              it->mZone,       reply->mWeightVersion,
              reply->mReason,  reply->mTime,
              reply->mTime,    reply->mCandidates,
              it->mStartedAtMs };
  return true;
}

void
RequestRun::RefuseUnserved()
{
  const bool isWaitingForWeights =
    mTried.empty() && mQuery.mLeastVersion > 0 &&
    std::ranges::any_of(mSendView->mServers, [&](const ServerRecord& aServer) {
      return aServer.mService == mService && !aServer.mIsLeaving &&
             !aServer.mIsEvacuated;
    });
  if (isWaitingForWeights) {
    Refuse(RefusalReason::NoServer,
           "No server of the service has weights that are new enough.",
           kWeightsRetryAfter);
    return;
  }
  Refuse(mTried.empty() ? RefusalReason::NoServer : RefusalReason::QueueFull,
         mTried.empty() ? "The service has no server."
                        : "No server of the service can take the request.",
         RetryDelay());
}

void
RequestRun::RefuseLate(Duration aRetryDelay)
{
  Refuse(RefusalReason::QueueFull,
         "All servers of the service are behind.",
         aRetryDelay);
}

void
RequestRun::RefuseLimited(Duration aRetryDelay)
{
  Refuse(RefusalReason::QueueFull,
         "The servers of the service have reached their rate limits.",
         aRetryDelay);
}

void
RequestRun::RefusePaused(Duration aRetryDelay)
{
  Refuse(RefusalReason::QueueFull,
         "The servers of the service want no requests for a time.",
         aRetryDelay);
}

std::optional<Duration>
RequestRun::PauseDelay() const
{
  return mContext.mAvoided.TimeUntilAny(
    mView->mServers, mService, MonotonicNow());
}

void
RequestRun::EndGrant(SendOutcome aOutcome)
{
  if (mGrant) {
    mContext.mPlacer->OnEnd(*std::exchange(mGrant, std::nullopt), aOutcome);
  }
}

std::string
RequestRun::CacheSalt(std::uint64_t aWeightVersion) const
{
  std::string salt = "w" + std::to_string(aWeightVersion);
  if (mAccount != nullptr && mAccount->mIsolated) {
    salt += "." + mAccount->mName.Text();
  }
  return salt;
}

std::optional<Instant>
RequestRun::WeightsBound() const
{
  if (!mRequest.mPrompt) {
    return std::nullopt;
  }
  return mSendView->mWeights.Due(
    mRequest.mPrompt->mModel, mChoice.mWeightVersion, mContext.mWeightsWithin);
}

bool
RequestRun::IsPastWeightsBound() const
{
  const auto bound = WeightsBound();
  return bound && *bound - BootNow() <
                    kMaxConnectTime + kTransitAllowance + kMinBeginTime;
}

// The server itself refuses a request whose deadline passes in its queue, even
// if it does not see that the connection was closed. The deadline counts from
// the arrival at the server.
void
RequestRun::LimitToWeights(BackendCall& aCall)
{
  const auto now = MonotonicNow();
  mBeginBy = mDeadline;
  if (!mRequest.mPrompt) {
    return;
  }
  if (const auto bound = WeightsBound()) {
    const auto left = *bound - BootNow();
    mBeginBy = std::min(mBeginBy, now + left);
    aCall.mTimeLeft =
      std::min(aCall.mTimeLeft, left - aCall.mConnectTime - kTransitAllowance);
  } else {
    // Newer weights may be announced while the request waits.
    mBeginBy =
      std::min(mBeginBy, now + mContext.mWeightsWithin - kOldWeightsReserve);
  }
}

BackendCall
RequestRun::MakeCall()
{
  BackendCall call;
  call.mServer = mChoice.mServer;
  call.mEndpoint = mChoice.mEndpoint;
  call.mTimeLeft = TimeLeft();
  call.mIsRepeat = std::ranges::find(mSentTo, call.mEndpoint) != mSentTo.end();
  mSentTo.push_back(call.mEndpoint);
  call.mConnectTime = ShareOf(
    mRoute->mObjective, kConnectTimeShare, kMinConnectTime, kMaxConnectTime);
  if (mAccount != nullptr) {
    call.mAccount = mAccount->mName;
  }
  if (mRequest.mPrompt) {
    call.mWeightVersion = mChoice.mWeightVersion;
    call.mCacheSalt = CacheSalt(mChoice.mWeightVersion);
    call.mPriority = Rank();
    const auto* service = mView->FindService(mService);
    const auto now = BootNow();
    call.mCache =
      mContext.mCache.Plan(*mRequest.mPrompt,
                           call.mCacheSalt,
                           service == nullptr ? 0 : service->mTokenBytes,
                           now);
    call.mCacheReadDeadlineMs = mContext.mCache.ServersClockMs(
      now + FromMillis(ToMillis(mRoute->mObjective) * kCacheReadShare));
  }
  LimitToWeights(call);
  call.mResumeAfter =
    mEvents.LastId().empty() ? mRequest.mResumeAfter : mEvents.LastId();
  return call;
}

} // namespace bilberrytrail
