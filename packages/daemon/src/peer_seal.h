#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// An authentic message from another daemon.
struct PeerMessage
{
  DaemonId mSender;
  std::string mBody;
};

// Seals what one daemon sends to another and opens what it receives.
// Thread-safe.
class PeerSeal
{
public:
  virtual ~PeerSeal() = default;

  // Returns the bytes to send to one daemon.
  [[nodiscard]] virtual std::string Seal(const DaemonId& aReceiver,
                                         std::string_view aBody) = 0;
  // Returns the bytes to send to any daemon, for messages that do no harm
  // when they are repeated to another one.
  [[nodiscard]] virtual std::string SealForAny(std::string_view aBody) = 0;
  // Opens a message to this daemon. Fails with Unauthorized when it is not
  // authentic, for another daemon, old or seen before.
  [[nodiscard]] virtual Result<PeerMessage> Open(std::string_view aWire) = 0;
  // Opens a message to any daemon.
  [[nodiscard]] virtual Result<PeerMessage> OpenForAny(
    std::string_view aWire) = 0;
};

} // namespace bilberrytrail
