#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/placement.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// An observation of a server's rate limit, as its sender made it.
struct LimitReport
{
  ServerId mServer;
  // Requests per second; 0 when the server no longer names a limit.
  double mPerSecond = 0;
  // Time since the observation.
  Duration mAge{};
};

// A datagram from a daemon to a home: at most one placement request, reports on
// earlier grants, and observations of rate limits.
struct PlacementMessage
{
  PlacementClientId mClient;
  std::optional<PlacementRequest> mRequest;
  std::vector<PlacementReport> mReports;
  std::vector<LimitReport> mLimits;
};

// A home's answer to a placement request, with its observations of rate limits.
struct PlacementAnswer
{
  PlacementReply mReply;
  std::vector<LimitReport> mLimits;
};

[[nodiscard]] std::string
Encode(const PlacementMessage& aMessage);
[[nodiscard]] std::string
Encode(const PlacementAnswer& aAnswer);

// The decoders fail with Corrupt.
[[nodiscard]] Result<PlacementMessage>
DecodePlacementMessage(std::string_view aBytes);
[[nodiscard]] Result<PlacementAnswer>
DecodePlacementAnswer(std::string_view aBytes);

// Returns whether a datagram is a home's reply.
[[nodiscard]] bool
IsPlacementReply(std::string_view aBytes) noexcept;

} // namespace bilberrytrail
