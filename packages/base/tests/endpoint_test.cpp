#include <bilberrytrail/base/endpoint.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("an endpoint is parsed from host:port")
{
  struct Row
  {
    const char* mText;
    bool mValid;
    std::uint16_t mPort;
  };
  const Row rows[] = {
    { "127.0.0.1:80", true, 80 },    { "http://127.0.0.1:9", true, 9 },
    { "127.0.0.1", false, 0 },       { "127.0.0.1:", false, 0 },
    { "127.0.0.1:65536", false, 0 }, { ":80", false, 0 },
    { "127.0.0.1:80x", false, 0 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mText);
    const auto endpoint = ParseEndpoint(row.mText);
    REQUIRE(endpoint.has_value() == row.mValid);
    if (row.mValid) {
      CHECK(endpoint.value().mPort == row.mPort);
    }
  }
}
