#include "homed_server.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Time without new work after a server refused or could not be reached.
constexpr Duration kRefusalPause = 500ms;
// Weight of one observation of speed.
constexpr double kLearningWeight = 0.1;
// Speeds assumed before the first observation, tokens per second.
constexpr double kInitialPrefill = 8000;
constexpr double kInitialDecode = 30;
// Blocks remembered as resident on one server.
constexpr std::size_t kMaxResident = 65536;
// With more blocks that it may not use, a server uses none.
constexpr std::size_t kMaxDistrusted = 65536;
// Prefills of fewer tokens say little about speed.
constexpr double kMinLearnedTokens = 256;

double
Blend(double aOld, double aNew)
{
  return aOld + kLearningWeight * (aNew - aOld);
}

double
Seconds(Duration aLength)
{
  return std::chrono::duration<double>(aLength).count();
}

} // namespace

HomedServer::HomedServer(VmEntry aVm, std::unique_ptr<ServerQueue> aQueue)
  : mVm(std::move(aVm))
  , mQueues{ std::make_shared<HomeQueue>(std::move(aQueue)) }
  , mSpeed{ kInitialPrefill, kInitialDecode }
{
}

HomeQueue&
HomedServer::Queue() const
{
  const std::lock_guard lock(mMutex);
  return *mQueues.back();
}

bool
HomedServer::IsDrained() const
{
  const std::lock_guard lock(mMutex);
  return mIsDrained;
}

void
HomedServer::Drain(Instant aNow)
{
  {
    const std::lock_guard lock(mMutex);
    mIsDrained = true;
  }
  Queue().Drain(aNow);
}

void
HomedServer::Reopen(std::unique_ptr<ServerQueue> aQueue)
{
  const std::lock_guard lock(mMutex);
  mQueues.push_back(std::make_shared<HomeQueue>(std::move(aQueue)));
  if (mState && mState->mSlots > 0) {
    mQueues.back()->SetSlots(mState->mSlots, MonotonicNow());
  }
  mIsDrained = false;
}

std::optional<EngineState>
HomedServer::State() const
{
  const std::lock_guard lock(mMutex);
  return mState;
}

std::optional<Duration>
HomedServer::ReportAge(Instant aNow) const
{
  const std::lock_guard lock(mMutex);
  return mState ? std::optional<Duration>(aNow - mReportedAt) : std::nullopt;
}

bool
HomedServer::Serves(const ModelId& aModel, const VersionId& aVersion) const
{
  const std::lock_guard lock(mMutex);
  return mState.has_value() &&
         std::any_of(mState->mVersions.begin(),
                     mState->mVersions.end(),
                     [&](const LoadedVersion& aLoaded) {
                       return aLoaded.mReady && aLoaded.mModel == aModel &&
                              aLoaded.mVersion == aVersion;
                     });
}

VersionId
HomedServer::NewestServed(const ModelId& aModel) const
{
  const std::lock_guard lock(mMutex);
  VersionId version;
  if (mState) {
    for (const auto& it : mState->mVersions) {
      if (it.mReady && it.mModel == aModel) {
        version = it.mVersion;
      }
    }
  }
  return version;
}

bool
HomedServer::HasRoom() const
{
  const auto running = Queue().Running();
  const std::lock_guard lock(mMutex);
  const bool isKnown = mState.has_value() && mState->mSlots > 0;
  const std::size_t slots = isKnown ? mState->mSlots : QueueSettings().mSlots;
  return 2 * running <= slots;
}

bool
HomedServer::TakesWork(Instant aNow) const
{
  const std::lock_guard lock(mMutex);
  return aNow >= mNoWorkBefore && !(mState.has_value() && mState->mLeaving);
}

ServerSpeed
HomedServer::Speed() const
{
  const std::lock_guard lock(mMutex);
  return mSpeed;
}

Duration
HomedServer::EstimateService(double aPromptTokens, double aAnswerTokens) const
{
  const ServerSpeed speed = Speed();
  const double seconds = aPromptTokens / speed.mPrefillTokensPerSecond +
                         aAnswerTokens / speed.mDecodeTokensPerSecond;
  return FromMillis(seconds * 1000);
}

Duration
HomedServer::PrefillBacklog() const
{
  const std::lock_guard lock(mMutex);
  return FromMillis(mPrefillTokens / mSpeed.mPrefillTokensPerSecond * 1000);
}

std::size_t
HomedServer::ResidentBlocks() const
{
  const std::lock_guard lock(mMutex);
  return mResident.size();
}

std::uint32_t
HomedServer::ResidentPrefix(std::span<const BlockId> aBlocks) const
{
  const std::lock_guard lock(mMutex);
  std::uint32_t n = 0;
  while (n < aBlocks.size() && mResident.contains(aBlocks[n])) {
    ++n;
  }
  return n;
}

std::size_t
HomedServer::TrustedPrefix(std::span<const BlockId> aBlocks) const
{
  const std::lock_guard lock(mMutex);
  if (mDistrusted.size() >= kMaxDistrusted) {
    return 0;
  }
  const auto it =
    std::find_if(aBlocks.begin(), aBlocks.end(), [&](BlockId aBlock) {
      return mDistrusted.contains(aBlock);
    });
  return static_cast<std::size_t>(it - aBlocks.begin());
}

void
HomedServer::NoteCached(std::span<const BlockId> aBlocks)
{
  const std::lock_guard lock(mMutex);
  if (mResident.size() + aBlocks.size() > kMaxResident) {
    mResident.clear();
  }
  mResident.insert(aBlocks.begin(), aBlocks.end());
}

void
HomedServer::NoteEvicted(std::span<const BlockId> aBlocks)
{
  const std::lock_guard lock(mMutex);
  for (const auto& block : aBlocks) {
    mResident.erase(block);
    mDistrusted.erase(block);
  }
}

void
HomedServer::BeginPrefill(double aTokens)
{
  const std::lock_guard lock(mMutex);
  mPrefillTokens += aTokens;
}

void
HomedServer::EndPrefill(double aTokens)
{
  const std::lock_guard lock(mMutex);
  mPrefillTokens = std::max(0.0, mPrefillTokens - aTokens);
}

void
HomedServer::Distrust(BlockId aBlock)
{
  const std::lock_guard lock(mMutex);
  if (mDistrusted.size() < kMaxDistrusted) {
    mDistrusted.insert(aBlock);
  }
}

std::vector<BlockId>
HomedServer::ForgetResident()
{
  const std::lock_guard lock(mMutex);
  std::vector<BlockId> resident(mResident.begin(), mResident.end());
  mResident.clear();
  mDistrusted.clear();
  return resident;
}

std::vector<BlockId>
HomedServer::ForgetDoubtful()
{
  const std::lock_guard lock(mMutex);
  std::vector<BlockId> resident(mResident.begin(), mResident.end());
  mResident.clear();
  return resident;
}

void
HomedServer::SetState(EngineState aState)
{
  const std::uint32_t slots = aState.mSlots;
  {
    const std::lock_guard lock(mMutex);
    const bool isChanged = !mState || mState->mSlots != slots;
    mState = std::move(aState);
    mReportedAt = MonotonicNow();
    if (!isChanged || slots == 0) {
      return;
    }
  }
  Queue().SetSlots(slots, MonotonicNow());
}

void
HomedServer::NoteRefusal(Instant aNow)
{
  const std::lock_guard lock(mMutex);
  mNoWorkBefore = aNow + kRefusalPause;
}

void
HomedServer::NoteReachable()
{
  const std::lock_guard lock(mMutex);
  mNoWorkBefore = Instant{};
}

void
HomedServer::SetSound(bool aSound)
{
  const std::lock_guard lock(mMutex);
  mIsSound = aSound;
}

void
HomedServer::LearnPrefill(double aTokens, Duration aTime)
{
  if (aTokens < kMinLearnedTokens || aTime <= Duration::zero()) {
    return;
  }
  const std::lock_guard lock(mMutex);
  if (!mIsSound) {
    return;
  }
  mSpeed.mPrefillTokensPerSecond =
    Blend(mSpeed.mPrefillTokensPerSecond, aTokens / Seconds(aTime));
}

void
HomedServer::LearnDecode(Duration aTimePerToken)
{
  if (aTimePerToken <= Duration::zero()) {
    return;
  }
  const std::lock_guard lock(mMutex);
  if (!mIsSound) {
    return;
  }
  mSpeed.mDecodeTokensPerSecond =
    Blend(mSpeed.mDecodeTokensPerSecond, 1.0 / Seconds(aTimePerToken));
}

} // namespace bilberrytrail
