#pragma once

#include "peer_channel.h"

#include <string>

namespace bilberrytrail {

// Signs messages between daemons with HMAC-SHA-256 under the site's key.
class SiteSigner : public PeerSigner
{
public:
  SiteSigner(std::string aSiteKey, DaemonId aSelf);

  [[nodiscard]] std::string Sign(const DaemonId& aReceiver,
                                 std::string_view aBody) override;
  [[nodiscard]] Result<DaemonId> Check(std::string_view aSignature,
                                       std::string_view aBody) override;

private:
  [[nodiscard]] std::string Mac(std::string_view aSender,
                                std::string_view aReceiver,
                                std::string_view aBody) const;

  std::string mSiteKey;
  DaemonId mSelf;
};

} // namespace bilberrytrail
