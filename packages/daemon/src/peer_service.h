#pragma once

#include "home_service.h"
#include "peer_channel.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

// Serves other daemons on one traffic thread: JSON-RPC calls, and requests
// for servers that this daemon is home to. Messages without a valid signature
// are refused.
class PeerService : public HttpHandler
{
public:
  PeerService(ThreadContext& aThread,
              PeerSigner& aSigner,
              const RpcMethods& aMethods,
              HomeService& aHomes);

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  void Run(const HttpRequest& aRequest, HttpResponder& aResponder);

  ThreadContext& mThread;
  PeerSigner& mSigner;
  const RpcMethods& mMethods;
  HomeService& mHomes;
};

} // namespace bilberrytrail
