#pragma once

#include <bilberrytrail/base/endpoint.h>

#include <vector>

namespace bilberrytrail::standins {

// A port that doesn't respond to new connections, as that of a host that is
// down: its queue of new connections is full, so that the packets that open one
// are dropped.
class SilentPort
{
public:
  // The endpoint must have an IPv4 address. Ends the test program if the port
  // is taken.
  explicit SilentPort(const Endpoint& aEndpoint);
  ~SilentPort();
  SilentPort(const SilentPort&) = delete;
  SilentPort& operator=(const SilentPort&) = delete;

private:
  // The listening socket, and the connections that fill its queue.
  std::vector<int> mHandles;
};

} // namespace bilberrytrail::standins
