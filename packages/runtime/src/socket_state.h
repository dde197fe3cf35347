#pragma once

#include <sys/socket.h>

#include <cerrno>

namespace bilberrytrail {

// State of the receive side of a socket.
enum class SocketState : unsigned char
{
  Quiet,
  HasData,
  Closed
};

// Checks the receive side of a connected socket without waiting and without
// consuming data.
[[nodiscard]] inline SocketState
PeekSocket(int aHandle) noexcept
{
  char byte = 0;
  const auto n = ::recv(aHandle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return SocketState::HasData;
  }
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return SocketState::Quiet;
  }
  return SocketState::Closed;
}

} // namespace bilberrytrail
