#include "health_watch.h"

#include <bilberrytrail/cache/prompt_blocks.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Shorter predictions are within the noise of the network and of timers.
constexpr Duration kShortestPrefill = 50ms;
// Tokens of which one sample of the decoding speed is made.
constexpr std::uint32_t kTokensPerSample = 4;

Duration
TimeOf(double aTokens, double aTokensPerSecond)
{
  return FromMillis(aTokens / aTokensPerSecond * 1000);
}

} // namespace

HealthWatch::HealthWatch(std::unique_ptr<ServerHealth> aHealth)
  : mHealth(std::move(aHealth))
{
}

double
HealthWatch::Weight(const ServerId& aServer) const
{
  const std::lock_guard lock(mMutex);
  return mHealth->Weight(aServer, MonotonicNow());
}

void
HealthWatch::AddSample(const ServerId& aServer, const HealthSample& aSample)
{
  const std::lock_guard lock(mMutex);
  mHealth->AddSample(aServer, aSample, MonotonicNow());
}

std::uint64_t
HealthWatch::BeginWait(const ServerId& aServer, Duration aPredicted)
{
  const std::lock_guard lock(mMutex);
  mWaits.emplace(++mLastNumber, Wait{ aServer, aPredicted, MonotonicNow() });
  return mLastNumber;
}

void
HealthWatch::EndWait(std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mWaits.erase(aNumber);
}

bool
HealthWatch::TakeProbe(const ServerId& aServer)
{
  const std::lock_guard lock(mMutex);
  return mHealth->TakeProbe(aServer, MonotonicNow());
}

void
HealthWatch::Forget(const ServerId& aServer)
{
  const std::lock_guard lock(mMutex);
  mHealth->Forget(aServer);
}

void
HealthWatch::Tick(Instant aNow)
{
  const std::lock_guard lock(mMutex);
  for (auto& [number, wait] : mWaits) {
    const auto elapsed = aNow - wait.mBegan;
    if (elapsed >= wait.mPredicted * wait.mMultiple) {
      ++wait.mMultiple;
      mHealth->AddOverdue(wait.mServer, { wait.mPredicted, elapsed }, aNow);
    }
  }
}

HealthSink::HealthSink(HealthWatch& aWatch,
                       HomedServerPtr aServer,
                       const HomeRequest& aRequest,
                       FrameSink& aSink)
  : mWatch(aWatch)
  , mServer(std::move(aServer))
  , mRequest(aRequest)
  , mSink(aSink)
{
}

HealthSink::~HealthSink()
{
  EndWait();
}

void
HealthSink::NoteSent()
{
  mSink.NoteSent();
  EndWait();
  mSpeed = mServer->Speed();
  mSentAt = MonotonicNow();
  mTokens = 0;
  const double tokens =
    static_cast<double>(mRequest.mGenerate.mPrompt.size()) / kBytesPerToken;
  mPredictedPrefill = std::max<Duration>(
    kShortestPrefill, TimeOf(tokens, mSpeed.mPrefillTokensPerSecond));
  mWait = mWatch.BeginWait(mRequest.mServer, mPredictedPrefill);
}

Result<void>
HealthSink::Write(const HomeFrame& aFrame)
{
  switch (aFrame.mKind) {
    case FrameKind::Head:
      OnHead(aFrame.mHead);
      break;
    case FrameKind::Chunk:
      OnChunk();
      break;
    case FrameKind::End:
    case FrameKind::Answer:
    case FrameKind::NotRun:
    case FrameKind::Broken:
      EndWait();
      break;
  }
  return mSink.Write(aFrame);
}

void
HealthSink::OnHead(const GenerateHead& aHead)
{
  const auto computed =
    static_cast<double>(aHead.mPromptTokens) - aHead.mCachedTokens;
  mPredictedPrefill = TimeOf(computed, mSpeed.mPrefillTokensPerSecond);
}

void
HealthSink::OnChunk()
{
  const auto now = MonotonicNow();
  if (mTokens == 0) {
    EndWait();
    if (mPredictedPrefill >= kShortestPrefill) {
      mWatch.AddSample(mRequest.mServer, { mPredictedPrefill, now - mSentAt });
    }
    mSampleBegan = now;
  } else if (mTokens % kTokensPerSample == 0) {
    mWatch.AddSample(mRequest.mServer,
                     { TimeOf(kTokensPerSample, mSpeed.mDecodeTokensPerSecond),
                       now - mSampleBegan });
    mSampleBegan = now;
  }
  ++mTokens;
}

void
HealthSink::EndWait()
{
  if (mWait != 0) {
    mWatch.EndWait(mWait);
    mWait = 0;
  }
}

} // namespace bilberrytrail
