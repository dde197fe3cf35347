#pragma once

#include "home_service.h"
#include "peer_channel.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

// Serves other daemons on one traffic thread: JSON-RPC calls, and requests
// for servers that this daemon is home to. Messages that are not
// authentic are refused.
class PeerService : public HttpHandler
{
public:
  PeerService(ThreadContext& aThread,
              PeerSeal& aSeal,
              const RpcMethods& aMethods,
              HomeService& aHomes);

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  void Run(const std::string& aBody, HttpResponder& aResponder);

  ThreadContext& mThread;
  PeerSeal& mSeal;
  const RpcMethods& mMethods;
  HomeService& mHomes;
};

} // namespace bilberrytrail
