#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/traffic/work_class.h>

#include <cstdint>
#include <vector>

namespace bilberrytrail {

// What an entry daemon asks the home of servers before it chooses one.
struct EstimateQuery
{
  std::vector<ServerId> mServers;
  AccountId mAccount;
  WorkClass mClass = WorkClass::Short;
  ModelId mModel;
  VersionId mVersion;
  double mPromptTokens = 0;
  double mAnswerTokens = 0;
  std::vector<BlockId> mBlocks;
};

// The home's answer for one server.
struct ServerEstimate
{
  ServerId mServer;
  // The server takes new work and, for engines, serves the version.
  bool mReady = false;
  Duration mQueueWait{};
  Duration mService{};
  double mPrefillTokensPerSecond = 0;
  std::uint32_t mResidentBlocks = 0;
  // Blocks from the start that will be resident after the wait, because other
  // requests import or compute them; 0 when there are no such blocks.
  std::uint32_t mPendingBlocks = 0;
  Duration mPendingWait{};
  // Another version of the model that an engine serves which does not serve the
  // one asked for; empty when it serves none.
  VersionId mServedInstead;
  // Below 1 while the server is slow for a moment: its times are as many times
  // longer.
  double mWeight = 1;
  // At most half of the server's slots are taken and nothing waits: entries may
  // send it requests for a moment without asking first.
  bool mHasRoom = false;

  // Returns whether the server takes a request at once.
  [[nodiscard]] bool TakesAtOnce() const noexcept
  {
    return mReady && mQueueWait == Duration::zero() && mWeight >= 1;
  }
};

// Encodes and decodes both for calls between daemons.
[[nodiscard]] Json
ToJson(const EstimateQuery& aQuery);
[[nodiscard]] Result<EstimateQuery>
ReadEstimateQuery(const Json& aJson);
[[nodiscard]] Json
ToJson(const std::vector<ServerEstimate>& aEstimates);
[[nodiscard]] Result<std::vector<ServerEstimate>>
ReadServerEstimates(const Json& aJson);
[[nodiscard]] Json
ToJson(const ServerEstimate& aEstimate);
[[nodiscard]] Result<ServerEstimate>
ReadServerEstimate(const Json& aJson);

} // namespace bilberrytrail
