#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/placement.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// A datagram from a daemon that asks a home: at most one question, and what
// became of earlier grants.
struct PlacementMessage
{
  PlacementClientId mClient;
  std::optional<PlacementRequest> mAsk;
  std::vector<PlacementReport> mTells;
};

[[nodiscard]] std::string
Encode(const PlacementMessage& aMessage);
[[nodiscard]] std::string
Encode(const PlacementReply& aReply);

// Readers fail with Corrupt.
[[nodiscard]] Result<PlacementMessage>
DecodePlacementMessage(std::string_view aBytes);
[[nodiscard]] Result<PlacementReply>
DecodePlacementReply(std::string_view aBytes);

// Returns whether a datagram is a reply of a home.
[[nodiscard]] bool
IsPlacementReply(std::string_view aBytes) noexcept;

} // namespace bilberrytrail
