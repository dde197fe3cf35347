#include "engine/engine_state.h"

#include <bilberrytrail/base/digest.h>

#include <utility>

namespace bilberrytrail::standins {

namespace {

constexpr Duration kPauseStep = 5ms;

Duration
Stretch(Duration aLength, double aFactor)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aLength.count()) * aFactor));
}

} // namespace

EngineContext::EngineContext(Loop& aLoop, EngineSettings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mClient(aLoop)
  , mCache(mSettings.mCacheBlocks)
  , mSlots(mSettings.mSlots)
  , mVersions(!mSettings.mIgnoresFencing)
  , mEvents(mSettings.mReportLag, mSettings.mEventGapEvery)
  , mPrefill(mSettings.mPrefillTokensPerSecond)
  , mLink(mSettings.mLinkBytesPerSecond)
  , mIncarnation(StableHash64(RandomToken()))
{
}

bool
EngineContext::Work(Duration aLength)
{
  if (!mLoop.Sleep(Stretch(aLength, mFaults.mSlow))) {
    return false;
  }
  while (MonotonicNow() < mFaults.mPausedUntil) {
    if (!mLoop.Sleep(kPauseStep)) {
      return false;
    }
  }
  return true;
}

void
EngineContext::Report(EngineEventKind aKind, std::vector<BlockId> aBlocks)
{
  if (aBlocks.empty()) {
    return;
  }
  EngineEvent event;
  event.mKind = aKind;
  event.mBlocks = std::move(aBlocks);
  mEvents.Append(std::move(event), MonotonicNow());
}

EngineState
EngineContext::Describe() const
{
  EngineState state;
  mVersions.Describe(state);
  state.mRunning = mSlots.Running();
  state.mSlots = mSettings.mSlots;
  state.mTokensPerSecond = mTokensPerSecond;
  state.mLeaving = mFaults.mLeaving;
  state.mIncarnation = mIncarnation;
  return state;
}

Result<void>
SetFaults(EngineFaults& aFaults, const Json& aJson, Instant aNow)
{
  JsonFields fields(aJson);
  EngineFaults next = aFaults;
  const auto setFlag = [&fields](const char* aName, bool& aFlag) {
    aFlag = fields.Has(aName) ? fields.Flag(aName) : aFlag;
  };
  setFlag("refuse", next.mRefuse);
  setFlag("wrong_attempt", next.mWrongAttempt);
  setFlag("duplicate", next.mDuplicate);
  setFlag("leaving", next.mLeaving);
  if (fields.Has("slow")) {
    next.mSlow = fields.Real("slow");
  }
  if (fields.Has("crash_on")) {
    next.mCrashOn = fields.Text("crash_on");
  }
  if (fields.Has("serve_version")) {
    next.mServeVersion = fields.Text("serve_version");
  }
  if (fields.Has("cut_stream_after")) {
    next.mCutStreamAfter = fields.Unsigned32("cut_stream_after");
  }
  if (fields.Has("pause_ms")) {
    next.mPausedUntil = aNow + FromMillis(fields.Unsigned32("pause_ms"));
  }
  if (auto ok = fields.Check(); !ok) {
    return Fail(ErrorCode::InvalidInput, ok.error().mMessage);
  }
  aFaults = std::move(next);
  return Ok();
}

Json
ToJson(const EngineCounts& aCounts)
{
  return { { "attempts", aCounts.mAttempts },
           { "completed", aCounts.mCompleted },
           { "cancelled", aCounts.mCancelled },
           { "refused", aCounts.mRefused },
           { "cached_tokens", aCounts.mCachedTokens },
           { "recomputed_tokens", aCounts.mRecomputedTokens },
           { "imported_tokens", aCounts.mImportedTokens },
           { "decoded_tokens", aCounts.mDecodedTokens },
           { "highest_concurrent", aCounts.mHighestConcurrent },
           { "wrong_blocks_used", aCounts.mWrongBlocksUsed },
           { "wrong_version_used", aCounts.mWrongVersionUsed },
           { "old_orders", aCounts.mOldOrders } };
}

} // namespace bilberrytrail::standins
