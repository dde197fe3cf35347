#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/enum_names.h>

#include <array>
#include <memory>

namespace bilberrytrail::standins {

// What the proxy does to the bytes between both sides.
enum class LinkFault : unsigned char
{
  None,
  // Bytes come late.
  Delayed,
  // Connections are reset, new ones too.
  Reset,
  // Nothing comes through, and nothing is closed.
  Silent,
  // Requests come through, answers do not.
  OneWay
};

} // namespace bilberrytrail::standins

template<>
struct bilberrytrail::EnumNames<bilberrytrail::standins::LinkFault>
{
  static constexpr std::array<std::string_view, 5> kNames{ "none",
                                                           "delayed",
                                                           "reset",
                                                           "silent",
                                                           "one_way" };
};

namespace bilberrytrail::standins {

// Forwards TCP connections from a port of loopback to another one, on a thread
// of its own. Connections that were silenced stay so when the fault ends, as
// those do whose packets were lost for good.
class FaultProxy
{
public:
  FaultProxy(const Endpoint& aListen, const Endpoint& aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Returns where it listens, with the port chosen for port 0.
  [[nodiscard]] Endpoint Address() const;
  // Sets the fault for open and for new connections. Thread-safe.
  void SetFault(LinkFault aFault);
  // Silences the connections that are open now, but no new ones. Thread-safe.
  void SilenceOpen()
  {
    SetFault(LinkFault::Silent);
    SetFault(LinkFault::None);
  }

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail::standins
