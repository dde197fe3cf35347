#pragma once

#include <bilberrytrail/base/error.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytrail {

// IP address and port of a listening socket.
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// Returns "host:port".
[[nodiscard]] std::string
ToText(const Endpoint& aEndpoint);

// Parses "host:port", with or without a leading "http://". Fails with
// InvalidInput when the port is missing or out of range.
[[nodiscard]] Result<Endpoint>
ParseEndpoint(std::string_view aText);

} // namespace bilberrytrail
