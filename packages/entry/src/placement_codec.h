#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/placement.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// A datagram from a daemon to a home: at most one placement request, and
// reports on earlier grants.
struct PlacementMessage
{
  PlacementClientId mClient;
  std::optional<PlacementRequest> mRequest;
  std::vector<PlacementReport> mReports;
};

[[nodiscard]] std::string
Encode(const PlacementMessage& aMessage);
[[nodiscard]] std::string
Encode(const PlacementReply& aReply);

// The decoders fail with Corrupt.
[[nodiscard]] Result<PlacementMessage>
DecodePlacementMessage(std::string_view aBytes);
[[nodiscard]] Result<PlacementReply>
DecodePlacementReply(std::string_view aBytes);

// Returns whether a datagram is a home's reply.
[[nodiscard]] bool
IsPlacementReply(std::string_view aBytes) noexcept;

} // namespace bilberrytrail
