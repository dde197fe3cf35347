#pragma once

#include <bilberrytrail/entry/recovery_pace.h>
#include <bilberrytrail/entry/server_pool.h>

#include <bilberrytrail/base/random.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace bilberrytrail {

// The delay that requests of one rank had at a server.
struct RankDelay
{
  // Smoothed recent delay, as of mAt.
  Duration mDelay{};
  Instant mAt;
  // Latest time of sending among the sends whose answer has begun.
  Instant mLastBegunSentAt;
};

// A server of the list and what this daemon observed of it.
struct ServerPool::Server
{
  explicit Server(const ServerPoolSettings& aSettings)
    : mLoad(aSettings.mTokensPerMs)
  {
  }

  ServerRecord mRecord;
  // Differs after a restart.
  std::uint64_t mGeneration = 0;
  // Versions named in answers, which may be newer than the list.
  std::map<ModelId, std::uint64_t> mObserved;
  std::uint64_t mHash = 0;
  // Sends whose answer has not begun, oldest first.
  std::set<SendTicket> mWaiting;
  std::size_t mRunning = 0;
  ServerLoad mLoad;
  RecentParts mParts;
  // Memory that the prompts at the server take, in tokens, by rank.
  std::array<double, kRanks> mMemory{};
  // Work that was ever sent to the server, in tokens, by rank.
  std::array<double, kRanks> mSent{};
  std::array<RankDelay, kRanks> mDelays;
  std::optional<Instant> mLastReceivedAt;
  unsigned mFailures = 0;
  Duration mEjection{};
  std::optional<Instant> mEjectedUntil;
  Duration mFullBackOff{};
  std::optional<Instant> mFullUntil;
  std::optional<Instant> mLoadingUntil;
  // The newest versions when its loading was announced.
  std::map<ModelId, std::uint64_t> mLoadedVersions;
  RecoveryPace mPace;

  // Returns the work of more urgent ranks that was ever sent to the server.
  [[nodiscard]] double SentAbove(unsigned aRank) const noexcept
  {
    return std::accumulate(mSent.begin(), mSent.begin() + aRank, 0.0);
  }

  // Returns a key for the prompt's shared parts under the weights that are
  // loaded.
  [[nodiscard]] std::uint64_t PartOf(const ServerQuery& aQuery) const
  {
    return aQuery.mAffinity ^ Random(VersionOf(*aQuery.mModel)).Next();
  }
  [[nodiscard]] std::uint64_t VersionOf(const ModelId& aModel) const
  {
    const auto it = mObserved.find(aModel);
    const auto listed = mRecord.VersionOf(aModel);
    return it == mObserved.end() ? listed : std::max(it->second, listed);
  }
};

struct ServerPool::Send
{
  ServerId mServer;
  // Generation of the server; 0 for one that is not listed.
  std::uint64_t mGeneration = 0;
  double mWork = 0;
  // Work until the first event, with what was ahead of it.
  double mTokens = 0;
  // Work of more urgent ranks that was sent to the server before.
  double mSentAbove = 0;
  // Expected time to the first event: for the work ahead of it and its own, and
  // the baseline beyond that work.
  Duration mWorkTime{};
  Duration mBaselineTime{};
  double mMemory = 0;
  std::uint64_t mKind = 0;
  unsigned mRank = 0;
  Instant mSentAt;
  bool mIsPrompt = false;
  bool mHasBegun = false;
};

} // namespace bilberrytrail
