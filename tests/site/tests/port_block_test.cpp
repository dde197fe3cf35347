#include "port_block.h"

#include <doctest/doctest.h>

#include <set>

using namespace bilberrytrail;

TEST_CASE("ports of sites that run at the same time are all different")
{
  PortBlock first;
  PortBlock second;
  std::set<std::uint16_t> ports;
  constexpr std::size_t kPorts = 60;
  for (std::size_t n = 0; n < kPorts; ++n) {
    ports.insert(first.Next());
    ports.insert(second.Next());
  }
  CHECK(ports.size() == 2 * kPorts);
}
