#pragma once

#include <sys/socket.h>

#include <cerrno>

namespace bilberrytrail {

// What a look at a socket's receive side shows without reading from it.
enum class SocketState : unsigned char
{
  Quiet,
  HasData,
  Closed
};

// Looks at the receive side of a connected socket without waiting.
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
