#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/runtime/fwd.h>

#include <memory>
#include <string>
#include <string_view>

namespace bilberrytrail {

// One received datagram and its sender.
struct Datagram
{
  Endpoint mFrom;
  std::string mBody;
};

// A UDP socket that is used from the fibers of one loop.
class DatagramSocket
{
public:
  explicit DatagramSocket(Loop& aLoop);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds the socket and returns the bound port. Fails with Unavailable.
  [[nodiscard]] Result<std::uint16_t> Bind(const Endpoint& aEndpoint);
  // Waits for a datagram. Fails with Cancelled when the loop stops.
  [[nodiscard]] Result<Datagram> Receive();
  // Sends without waiting. The datagram is dropped if the socket buffer is
  // full.
  void Send(const Endpoint& aTo, std::string_view aBody);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
