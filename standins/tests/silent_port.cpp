#include "silent_port.h"

#include <cstdio>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberrytrail::standins {

namespace {

// Connections that fill a queue of length 0; the kernel keeps one more.
constexpr int kFillers = 4;

} // namespace

SilentPort::SilentPort(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  inet_pton(AF_INET, aEndpoint.mHost.c_str(), &address.sin_addr);
  const auto* const target = reinterpret_cast<const sockaddr*>(&address);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listener, target, sizeof(address)) != 0 ||
      listen(listener, 0) != 0) {
    std::perror("a silent port");
    std::abort();
  }
  mHandles.push_back(listener);
  for (int n = 0; n < kFillers; ++n) {
    const int filler =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    (void)connect(filler, target, sizeof(address));
    mHandles.push_back(filler);
  }
}

SilentPort::~SilentPort()
{
  for (const int it : mHandles) {
    close(it);
  }
}

} // namespace bilberrytrail::standins
