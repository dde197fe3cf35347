#include <bilberrytrail/base/endpoint.h>

#include <charconv>

namespace bilberrytrail {

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  constexpr std::string_view kScheme = "http://";
  if (aText.starts_with(kScheme)) {
    aText.remove_prefix(kScheme.size());
  }
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return Fail(ErrorCode::InvalidInput, "expected host:port");
  }
  const auto digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, ec] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size() ||
      digits.empty()) {
    return Fail(ErrorCode::InvalidInput, "port must be 0 to 65535");
  }
  return Endpoint{ std::string(aText.substr(0, colon)), port };
}

} // namespace bilberrytrail
