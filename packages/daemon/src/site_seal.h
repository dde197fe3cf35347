#pragma once

#include "peer_seal.h"

#include <bilberrytrail/base/message_auth.h>
#include <bilberrytrail/base/time.h>

#include <mutex>
#include <string>

namespace bilberrytrail {

// Seals messages between daemons under the site's key.
class SiteSeal : public PeerSeal
{
public:
  // The id must be new at each start of the process; messages to an earlier
  // process are then messages to another daemon.
  SiteSeal(const std::string& aSiteKey,
           const DaemonId& aSelf,
           Duration aWindow);

  [[nodiscard]] std::string Seal(const DaemonId& aReceiver,
                                 std::string_view aBody) override;
  [[nodiscard]] std::string SealForAny(std::string_view aBody) override;
  [[nodiscard]] Result<PeerMessage> Open(std::string_view aWire) override;
  [[nodiscard]] Result<PeerMessage> OpenForAny(std::string_view aWire) override;

private:
  [[nodiscard]] Result<PeerMessage> OpenWith(MessageOpener& aOpener,
                                             std::string_view aWire);

  MessageSealer mSealer;
  std::mutex mMutex;
  MessageOpener mOwn;
  MessageOpener mAny;
};

} // namespace bilberrytrail
