#pragma once

#include "common/rate_limiter.h"
#include "engine/event_log.h"
#include "engine/prefix_cache.h"
#include "engine/slot_queue.h"
#include "engine/version_table.h"

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace bilberrytrail::standins {

// Settings of an engine that stands in for a real one.
struct EngineSettings
{
  std::uint32_t mSlots = 8;
  std::size_t mCacheBlocks = 64;
  double mPrefillTokensPerSecond = 20000;
  double mDecodeTokensPerSecond = 50;
  std::uint32_t mTokensPerChunk = 1;
  std::uint64_t mKvBytesPerToken = 16;
  double mLinkBytesPerSecond = 0;
  bool mIgnoresFencing = false;
  Duration mLoadTime = 2s;
  std::optional<Endpoint> mWeightStore;
  Duration mReportPeriod = 100ms;
  Duration mReportLag{};
  std::uint64_t mEventGapEvery = 0;
};

// Faults of the engine, set by POST /fault.
struct EngineFaults
{
  // Factor on the time of prefill and decode.
  double mSlow = 1;
  // A prompt with this text makes the process exit.
  std::string mCrashOn;
  Instant mPausedUntil{};
  // Streams are cut after so many tokens; 0 for never.
  std::uint32_t mCutStreamAfter = 0;
  bool mRefuse = false;
  bool mWrongAttempt = false;
  bool mDuplicate = false;
  bool mLeaving = false;
  // Version that answers name in place of the requested one.
  std::string mServeVersion;
};

// Counts since the start.
struct EngineCounts
{
  std::uint64_t mAttempts = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mRecomputedTokens = 0;
  std::uint64_t mImportedTokens = 0;
  std::uint64_t mDecodedTokens = 0;
  std::uint64_t mHighestConcurrent = 0;
  std::uint64_t mWrongBlocksUsed = 0;
  std::uint64_t mWrongVersionUsed = 0;
  std::uint64_t mOldOrders = 0;
};

// What the parts of the engine share; all on one loop's thread.
struct EngineContext
{
  EngineContext(Loop& aLoop, EngineSettings aSettings);

  // Waits for a length of time, stretched by the faults in force. Returns
  // false when the loop is stopping.
  [[nodiscard]] bool Work(Duration aLength);
  // Adds an event about blocks.
  void Report(EngineEventKind aKind, std::vector<BlockId> aBlocks);
  // Returns the present state.
  [[nodiscard]] EngineState Describe() const;

  Loop& mLoop;
  EngineSettings mSettings;
  EngineFaults mFaults;
  EngineCounts mCounts;
  HttpClient mClient;
  PrefixCache mCache;
  SlotQueue mSlots;
  VersionTable mVersions;
  EventLog mEvents;
  RateLimiter mPrefill;
  RateLimiter mLink;
  // Drawn at the start of the process.
  const std::uint64_t mIncarnation;
  std::uint64_t mRecentTokens = 0;
  double mTokensPerSecond = 0;
};

// Sets the faults from the fields of POST /fault. Fails with InvalidInput.
[[nodiscard]] Result<void>
SetFaults(EngineFaults& aFaults, const Json& aJson, Instant aNow);

// Returns the counts as the body of GET /stats.
[[nodiscard]] Json
ToJson(const EngineCounts& aCounts);

} // namespace bilberrytrail::standins
