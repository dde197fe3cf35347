#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/part_quarantine.h>
#include <bilberrytrail/entry/placement.h>
#include <bilberrytrail/entry/site_feed.h>

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

// What the sender knows of a cold server.
struct ColdReport
{
  ServerId mServer;
  // Time for which it stays cold; nothing while it is not known to run again.
  std::optional<Duration> mLeft;
};

// The end of a server that was to answer a prompt with a part, as its sender
// knows it.
struct PartDeathReport
{
  DeathId mDeath;
  Duration mAge{};
};

// What the sender knows of a part, or a whole request, that waited at servers
// when they ended.
struct PartReport
{
  PartKey mPart;
  std::uint32_t mPlace = 0;
  // Time since a server last went on after answering on the part.
  std::optional<Duration> mSoundAge;
  std::vector<PartDeathReport> mDeaths;
};

// A datagram from a daemon to a home: at most one placement request, reports on
// earlier grants, observations of rate limits and of cold servers, and evidence
// against parts and whole requests.
struct PlacementMessage
{
  PlacementClientId mClient;
  // The newest rows that the sender has of the site's tables.
  TableVersions mNewestRows;
  std::optional<PlacementRequest> mRequest;
  std::vector<PlacementReport> mReports;
  std::vector<LimitReport> mLimits;
  std::vector<ColdReport> mColds;
  std::vector<PartReport> mParts;
  std::vector<PartReport> mWholeRequests;
};

// A home's answer to a placement request, with its observations of rate limits
// and its evidence against parts and whole requests.
struct PlacementAnswer
{
  PlacementReply mReply;
  TableVersions mNewestRows;
  std::vector<LimitReport> mLimits;
  std::vector<ColdReport> mColds;
  std::vector<PartReport> mParts;
  std::vector<PartReport> mWholeRequests;
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
