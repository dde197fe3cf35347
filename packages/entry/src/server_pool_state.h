#pragma once

#include <bilberrytrail/entry/server_pool.h>

#include <bilberrytrail/base/random.h>

#include <algorithm>
#include <array>

namespace bilberrytrail {

// What requests of one rank met at a server.
struct RankDelay
{
  // Delay of late, as of mAt.
  Duration mDelay{};
  Instant mAt;
  // When the last one was sent of those that have begun.
  Instant mBegunSentAt;
};

// A server of the list with what this daemon has seen of it.
struct ServerPool::Server
{
  explicit Server(const ServerPoolSettings& aSettings)
    : mLoad(aSettings.mTokensPerMs)
  {
  }

  ServerRecord mRecord;
  // Versions that answers named, which are newer than the list.
  std::map<ModelId, std::uint64_t> mObserved;
  std::uint64_t mHash = 0;
  // Sends without a byte of an answer yet, oldest first.
  std::set<SendTicket> mWaiting;
  std::size_t mRunning = 0;
  ServerLoad mLoad;
  RecentParts mParts;
  // Tokens of memory of the prompts that are there, by rank.
  std::array<double, kRanks> mMemory{};
  std::array<RankDelay, kRanks> mDelays;
  std::optional<Instant> mHeardAt;
  unsigned mFailures = 0;
  Duration mEjection{};
  std::optional<Instant> mEjectedUntil;
  Duration mFullTime{};
  std::optional<Instant> mFullUntil;
  std::optional<Instant> mLoadingUntil;

  // Returns a prompt's last shared part under the weights that are loaded.
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
  double mWork = 0;
  // Time that it should take: for the work that the server was known to have
  // before it, for its own, and the usual one beyond.
  Duration mWorkTime{};
  Duration mUsualTime{};
  double mMemory = 0;
  std::uint64_t mKind = 0;
  unsigned mRank = 0;
  Instant mSentAt;
  bool mIsPrompt = false;
  bool mHasBegun = false;
};

} // namespace bilberrytrail
