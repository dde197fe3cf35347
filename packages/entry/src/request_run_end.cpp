#include "request_run.h"

#include <bilberrytrail/base/log.h>

// The end of a request: its refusal, its log line and its counters.

namespace bilberrytrail {

namespace {

// Retry-After of refused callers: a share of the objective, in bounds.
constexpr double kRetryAfterShare = 0.5;
constexpr Duration kMinRetryAfter = 100ms;
constexpr Duration kMaxRetryAfter = 800ms;
// Retry-After while this daemon has no configuration, or one that may be
// outdated.
constexpr Duration kUnknownSiteRetryAfter = 300ms;

} // namespace

Duration
RequestRun::RetryDelay() const noexcept
{
  return ShareOf(
    mRoute->mObjective, kRetryAfterShare, kMinRetryAfter, kMaxRetryAfter);
}

// The caller already has a part of the stream, so it can only be cut.
void
RequestRun::CutStream(RefusalReason aReason)
{
  mContext.mCounts.Add(Labels(), Counter::Incomplete);
  LogLine(LogEvent::StreamIncomplete,
          { { "request", mRequest.mId },
            { "server", mChoice.mServer },
            { "reason", aReason },
            { "config", ConfigVersion() },
            EvidenceField(),
            { "way", mEvidence.mWay },
            { "sends", mSends },
            { "tokens", PromptTokens() },
            { "age", MonotonicNow() - mArrivedAt } });
  mSink.Cut();
}

void
RequestRun::Refuse(RefusalReason aReason,
                   std::string aText,
                   std::optional<Duration> aRetryAfter)
{
  if (mStreamHasBegun) {
    CutStream(aReason);
    return;
  }
  const auto refusal =
    Refusal::From(mLedger, aReason, std::move(aText), aRetryAfter);
  mContext.mCounts.Add(Labels(),
                       refusal.GetDisposition() == Disposition::NotRun
                         ? Counter::RefusedNotRun
                         : Counter::RefusedUnknown);
  mContext.mCounts.Add(Labels(), Counter::RefusedTokens, PromptTokens());
  LogLine(LogEvent::RequestRefused,
          { { "request", mRequest.mId },
            { "reason", aReason },
            { "disposition", refusal.GetDisposition() },
            { "route", mRoute == nullptr ? std::string() : mRoute->mName },
            { "account", mAccount == nullptr ? AccountId() : mAccount->mName },
            { "config", ConfigVersion() },
            EvidenceField(),
            { "way", mEvidence.mWay },
            { "sends", mSends },
            { "age", MonotonicNow() - mArrivedAt },
            { "left", TimeLeft() },
            { "server", mChoice.mServer },
            { "candidates", mChoice.mCandidates },
            { "estimate", mChoice.mTime },
            { "tokens", PromptTokens() },
            { "work", static_cast<std::uint64_t>(mQuery.mWork) },
            { "miss_work", static_cast<std::uint64_t>(mQuery.mMissWork) },
            { "return_in", aRetryAfter.value_or(Duration(0)) } });
  mSink.Refuse(refusal);
}

void
RequestRun::RefuseUnknownSite(std::string aText)
{
  Refuse(RefusalReason::PlatformUnavailable,
         std::move(aText),
         kUnknownSiteRetryAfter);
}

SeriesLabels
RequestRun::Labels() const
{
  return { ProductId(mService.Text()),
           mAccount == nullptr ? AccountId() : mAccount->mName,
           mRoute == nullptr ? std::string() : mRoute->mName };
}

std::uint64_t
RequestRun::PromptTokens() const noexcept
{
  return mRequest.mPrompt ? mRequest.mPrompt->mInputTokens : 0;
}

std::uint64_t
RequestRun::ConfigVersion() const noexcept
{
  return mView == nullptr || mView->mConfig == nullptr
           ? 0
           : mView->mConfig->mVersion;
}

LogField
RequestRun::EvidenceField() const
{
  constexpr std::string_view kName = "evidence";
  return mEvidence.mCompleteAt == Instant()
           ? LogField(kName, "none")
           : LogField(kName, mArrivedAtBoot - mEvidence.mCompleteAt);
}

void
RequestRun::NoteDone(unsigned aStatus)
{
  const auto now = MonotonicNow();
  const auto first = mFirstAt.value_or(now) - mArrivedAt;
  mContext.mCounts.Add(Labels(), Counter::Answered);
  mContext.mCounts.Add(Labels(), Counter::PromptTokens, PromptTokens());
  mContext.mTimes.Record(Labels(), Measure::FirstToken, first);
  mContext.mTimes.Record(Labels(), Measure::Total, now - mArrivedAt);
  LogLine(LogEvent::RequestDone,
          { { "request", mRequest.mId },
            { "route", mRoute->mName },
            { "server", mChoice.mServer },
            { "status", aStatus },
            { "config", ConfigVersion() },
            EvidenceField(),
            { "way", mEvidence.mWay },
            { "weights", mChoice.mWeightVersion },
            { "choice", mChoice.mReason },
            { "by_home", mIsByHome },
            { "sends", mSends },
            { "tokens", PromptTokens() },
            { "estimate", mChoice.mTime },
            { "first", first },
            { "total", now - mArrivedAt } });
}

void
RequestRun::NoteOldWeights()
{
  const auto bound = WeightsBound();
  if (!bound) {
    return;
  }
  const auto left = *bound - BootNow();
  LogLine(LogEvent::OldWeightsBegun,
          { { "request", mRequest.mId },
            { "server", mChoice.mServer },
            { "weights", mChoice.mWeightVersion },
            { "newest", NewestWeights() },
            { "since", mContext.mWeightsWithin - left },
            { "left_when_sent", left + (MonotonicNow() - mSentAt) },
            { "left", left },
            { "choice", mChoice.mReason },
            { "by_home", mIsByHome },
            { "sends", mSends } });
}

void
RequestRun::Stop()
{
  mIsStopped = true;
  mCancel.Cancel();
}

void
RequestRun::RefuseStopping()
{
  Refuse(RefusalReason::Draining, "This daemon is stopping.", kMinRetryAfter);
}

void
RequestRun::EndCancelled()
{
  if (mIsStopped && !mSink.HasCallerLeft()) {
    RefuseStopping();
  } else {
    NoteCallerLeft();
  }
}

void
RequestRun::NoteCallerLeft()
{
  LogLine(LogEvent::CallerLeft,
          { { "request", mRequest.mId },
            { "config", ConfigVersion() },
            EvidenceField(),
            { "way", mEvidence.mWay },
            { "sends", mSends },
            { "tokens", PromptTokens() },
            { "age", MonotonicNow() - mArrivedAt } });
}

} // namespace bilberrytrail
