#include "engine/attempt.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/base/digest.h>

#include <algorithm>
#include <cstdlib>
#include <string_view>

namespace bilberrytrail::standins {

namespace {

// Tokens of one step of prefill; steps of several attempts take turns.
constexpr std::uint32_t kPrefillStep = 512;
// How often a waiting attempt looks whether its caller has gone.
constexpr Duration kPeerCheckPeriod = 20ms;
constexpr int kCrashStatus = 134;

Result<void>
WriteEvent(HttpResponder& aResponder, const Json& aJson)
{
  const auto text = WriteJson(aJson);
  if (!text) {
    return text.error();
  }
  return aResponder.WriteChunk("data: " + text.value() + "\n\n");
}

// Returns the hash of the text that a block of the prompt covers.
std::uint64_t
HashOfBlockText(const GenerateRequest& aRequest, std::size_t aIndex)
{
  const std::string_view prompt = aRequest.mPrompt;
  const auto begin = std::min(aIndex * aRequest.mBlockBytes, prompt.size());
  return StableHash64(prompt.substr(begin, aRequest.mBlockBytes));
}

Duration
TimeOfTokens(std::uint32_t aTokens, double aTokensPerSecond)
{
  return FromMillis(1000.0 * aTokens / aTokensPerSecond);
}

} // namespace

void
AttemptRunner::Run(const GenerateRequest& aRequest, HttpResponder& aResponder)
{
  const Answer answer(aRequest.mPrompt);
  if (auto refusal = Refusal(aRequest, answer)) {
    ++mContext.mCounts.mRefused;
    static_cast<void>(aResponder.Send(std::move(*refusal)));
    return;
  }
  auto attempt = std::make_shared<Attempt>(mContext.mLoop);
  mAttempts[aRequest.mAttempt] = attempt;
  if (AwaitSlot(aRequest, *attempt, aResponder)) {
    Generate(aRequest, answer, *attempt, aResponder);
    mContext.mSlots.Release();
    AdmitWaiting();
  } else {
    static_cast<void>(aResponder.Send(NotRunResponse("cancelled in queue")));
  }
  mAttempts.erase(aRequest.mAttempt);
}

void
AttemptRunner::Cancel(const AttemptId& aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  if (it != mAttempts.end()) {
    it->second->mCancelled = true;
    it->second->mAdmitted.Notify();
  }
}

std::optional<HttpResponse>
AttemptRunner::Refusal(const GenerateRequest& aRequest,
                       const Answer& aAnswer) const
{
  if (mContext.mFaults.mRefuse || mContext.mFaults.mLeaving) {
    return NotRunResponse("no new work");
  }
  if (!mContext.mVersions.IsReady(aRequest.mModel, aRequest.mVersion)) {
    return ErrorResponse(409, "version is not loaded");
  }
  if (mAttempts.contains(aRequest.mAttempt)) {
    return ErrorResponse(409, "attempt is running");
  }
  if (aRequest.mPrompt.empty()) {
    return ErrorResponse(400, "the prompt is empty");
  }
  if (aRequest.mResumeText != aAnswer.Text(0, aRequest.mStartPosition)) {
    return ErrorResponse(422, "resume text does not match the position");
  }
  return std::nullopt;
}

bool
AttemptRunner::AwaitSlot(const GenerateRequest& aRequest,
                         Attempt& aAttempt,
                         HttpResponder& aResponder)
{
  const auto ticket = mContext.mSlots.Enqueue(aRequest.mPriority);
  mWaiting[ticket] = mAttempts[aRequest.mAttempt];
  AdmitWaiting();
  while (!aAttempt.mHasSlot) {
    static_cast<void>(aAttempt.mAdmitted.Wait(kPeerCheckPeriod));
    if (aAttempt.mHasSlot) {
      break;
    }
    if (aAttempt.mCancelled || mContext.mLoop.IsStopping() ||
        !aResponder.IsPeerOpen()) {
      mContext.mSlots.Abandon(ticket);
      mWaiting.erase(ticket);
      return false;
    }
  }
  return true;
}

void
AttemptRunner::AdmitWaiting()
{
  while (const auto ticket = mContext.mSlots.Admit()) {
    const auto it = mWaiting.find(*ticket);
    it->second->mHasSlot = true;
    it->second->mAdmitted.Notify();
    mWaiting.erase(it);
  }
}

void
AttemptRunner::Generate(const GenerateRequest& aRequest,
                        const Answer& aAnswer,
                        Attempt& aAttempt,
                        HttpResponder& aResponder)
{
  auto& counts = mContext.mCounts;
  const auto& faults = mContext.mFaults;
  ++counts.mAttempts;
  counts.mHighestConcurrent = std::max<std::uint64_t>(
    counts.mHighestConcurrent, mContext.mSlots.Running());
  if (!faults.mCrashOn.empty() &&
      aRequest.mPrompt.find(faults.mCrashOn) != std::string::npos) {
    std::_Exit(kCrashStatus);
  }
  GenerateHead head;
  head.mVersion = faults.mServeVersion.empty()
                    ? aRequest.mVersion
                    : VersionId(faults.mServeVersion);
  head.mPromptTokens = TokenCount(aRequest.mPrompt);
  head.mCachedTokens = UseCache(aRequest);
  counts.mCachedTokens += head.mCachedTokens;
  counts.mRecomputedTokens += head.mPromptTokens - head.mCachedTokens;
  const auto tokens =
    head.mPromptTokens - head.mCachedTokens + aRequest.mStartPosition;
  if (!aResponder.BeginStream(200,
                              { { "Content-Type", "text/event-stream" } }) ||
      !WriteEvent(aResponder, ToJson(head)) || !Prefill(tokens, aAttempt)) {
    aResponder.Abort();
    return;
  }
  KeepBlocks(aRequest);
  Decode(aRequest, aAnswer, aAttempt, aResponder);
}

std::uint32_t
AttemptRunner::UseCache(const GenerateRequest& aRequest)
{
  const auto matched = mContext.mCache.MatchPrefix(aRequest.mBlocks);
  std::uint32_t bytes = 0;
  for (std::size_t n = 0; n < matched && UseBlock(aRequest, n); ++n) {
    bytes += aRequest.mBlockBytes;
  }
  return std::min(bytes / kBytesPerToken, TokenCount(aRequest.mPrompt));
}

bool
AttemptRunner::UseBlock(const GenerateRequest& aRequest, std::size_t aIndex)
{
  auto* block = mContext.mCache.Find(aRequest.mBlocks[aIndex]);
  const auto hash = HashOfBlockText(aRequest, aIndex);
  const bool isOtherPrompt = block->mTextHash != 0 && block->mTextHash != hash;
  if (!block->mIsIntact || isOtherPrompt) {
    ++mContext.mCounts.mWrongBlocksUsed;
    return false;
  }
  if (block->mVersion != aRequest.mVersion) {
    ++mContext.mCounts.mWrongVersionUsed;
    return false;
  }
  block->mTextHash = hash;
  mContext.mCache.Touch(aRequest.mBlocks[aIndex]);
  return true;
}

bool
AttemptRunner::Prefill(std::uint32_t aTokens, const Attempt& aAttempt)
{
  std::uint32_t done = 0;
  while (done < aTokens) {
    const auto step = std::min(kPrefillStep, aTokens - done);
    const auto now = MonotonicNow();
    const auto end =
      mContext.mPrefill.Reserve(now, step * mContext.mFaults.mSlow);
    if (!mContext.mLoop.Sleep(end - now) || !mContext.Work(Duration(0)) ||
        aAttempt.mCancelled) {
      return false;
    }
    done += step;
  }
  return !aAttempt.mCancelled;
}

void
AttemptRunner::KeepBlocks(const GenerateRequest& aRequest)
{
  std::vector<BlockId> added;
  std::vector<BlockId> evicted;
  for (std::size_t n = 0; n < aRequest.mBlocks.size(); ++n) {
    const auto id = aRequest.mBlocks[n];
    CachedBlock block;
    block.mBlock = id;
    block.mVersion = aRequest.mVersion;
    block.mBytes = std::uint64_t{ aRequest.mBlockBytes } / kBytesPerToken *
                   mContext.mSettings.mKvBytesPerToken;
    block.mTextHash = HashOfBlockText(aRequest, n);
    if (mContext.mCache.Find(id) == nullptr) {
      added.push_back(id);
    }
    for (const auto gone : mContext.mCache.Insert(block)) {
      evicted.push_back(gone);
    }
  }
  mContext.Report(EngineEventKind::BlockCached, std::move(added));
  mContext.Report(EngineEventKind::BlockEvicted, std::move(evicted));
}

void
AttemptRunner::Decode(const GenerateRequest& aRequest,
                      const Answer& aAnswer,
                      const Attempt& aAttempt,
                      HttpResponder& aResponder)
{
  const auto& settings = mContext.mSettings;
  const auto end = AnswerLength(aRequest.mPrompt, aRequest.mMaxTokens);
  auto position = aRequest.mStartPosition;
  while (position < end) {
    const auto step = std::min(settings.mTokensPerChunk, end - position);
    const auto cut = mContext.mFaults.mCutStreamAfter;
    if (!mContext.Work(TimeOfTokens(step, settings.mDecodeTokensPerSecond)) ||
        (cut > 0 && position - aRequest.mStartPosition >= cut)) {
      aResponder.Abort();
      return;
    }
    if (aAttempt.mCancelled) {
      ++mContext.mCounts.mCancelled;
      static_cast<void>(aResponder.EndStream());
      return;
    }
    if (!WriteChunk({ aRequest.mAttempt,
                      position,
                      aAnswer.Text(position, position + step),
                      false },
                    aResponder)) {
      return;
    }
    position += step;
    mContext.mRecentTokens += step;
    mContext.mCounts.mDecodedTokens += step;
  }
  const GenerateChunk last{ aRequest.mAttempt, position, {}, true };
  if (WriteEvent(aResponder, ToJson(last)) && aResponder.EndStream()) {
    ++mContext.mCounts.mCompleted;
  }
}

bool
AttemptRunner::WriteChunk(const GenerateChunk& aChunk,
                          HttpResponder& aResponder)
{
  if (mContext.mFaults.mWrongAttempt) {
    GenerateChunk wrong = aChunk;
    wrong.mAttempt = AttemptId("another-" + aChunk.mAttempt.Text());
    wrong.mText = "another attempt's text ";
    static_cast<void>(WriteEvent(aResponder, ToJson(wrong)));
  }
  const int copies = mContext.mFaults.mDuplicate ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    if (!WriteEvent(aResponder, ToJson(aChunk))) {
      return false;
    }
  }
  return true;
}

} // namespace bilberrytrail::standins
