#pragma once

#include <cstdint>

namespace bilberrytrail {

// A block of ports of the loopback address for one site. Blocks of sites that
// run at the same time, also in other processes, do not overlap: each holds
// the first port of its block open. They lie below the ports that the system
// gives to outgoing connections, so that a process can be started again on the
// port that it had.
//
//   PortBlock ports;
//   const Endpoint callers{ "127.0.0.1", ports.Next() };
class PortBlock
{
public:
  // Takes a free block; ends the process when there is none.
  PortBlock();
  ~PortBlock();
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  // Returns a port that was not returned before and that nothing listens on;
  // ends the process when the block is used up.
  [[nodiscard]] std::uint16_t Next();

private:
  int mGuard = -1;
  std::uint16_t mFirst = 0;
  std::uint16_t mUsed = 0;
};

} // namespace bilberrytrail
