#include "port_block.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

namespace bilberrytrail {

namespace {

constexpr std::uint16_t kFirstPort = 12'000;
constexpr std::uint16_t kPortsPerBlock = 128;
constexpr std::uint16_t kBlocks = 156;

[[noreturn]] void
Abandon(const char* aReason)
{
  std::cerr << "ports: " << aReason << "\n";
  std::exit(EXIT_FAILURE);
}

// Returns a socket bound to the port, or -1 when it is taken.
int
BindPort(int aType, std::uint16_t aPort)
{
  const int handle = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    return handle;
  }
  ::close(handle);
  return -1;
}

bool
IsFree(int aType, std::uint16_t aPort)
{
  const int handle = BindPort(aType, aPort);
  if (handle < 0) {
    return false;
  }
  ::close(handle);
  return true;
}

// Returns the number of the block that is tried first, another one for each
// site of a process.
std::uint16_t
FirstTry()
{
  static unsigned sites = 0;
  return static_cast<std::uint16_t>(
    (static_cast<unsigned>(::getpid()) + sites++) % kBlocks);
}

} // namespace

PortBlock::PortBlock()
{
  const std::uint16_t start = FirstTry();
  for (std::uint16_t n = 0; n < kBlocks && mGuard < 0; ++n) {
    const int block = (start + n) % kBlocks;
    mFirst = static_cast<std::uint16_t>(kFirstPort + block * kPortsPerBlock);
    mGuard = BindPort(SOCK_STREAM, mFirst);
  }
  if (mGuard < 0) {
    Abandon("no free block");
  }
}

PortBlock::~PortBlock()
{
  ::close(mGuard);
}

std::uint16_t
PortBlock::Next()
{
  while (++mUsed < kPortsPerBlock) {
    const auto port = static_cast<std::uint16_t>(mFirst + mUsed);
    if (IsFree(SOCK_STREAM, port) && IsFree(SOCK_DGRAM, port)) {
      return port;
    }
  }
  Abandon("the block is used up");
}

} // namespace bilberrytrail
