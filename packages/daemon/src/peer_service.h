#pragma once

#include "home_service.h"
#include "line_sink.h"
#include "peer_channel.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/rpc.h>

#include <list>

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
  // Writes blank lines to entries whose requests wait. Runs on the thread's
  // loop, several times a second.
  void KeepAlive();

private:
  void Run(const std::string& aBody, HttpResponder& aResponder);

  ThreadContext& mThread;
  PeerSeal& mSeal;
  const RpcMethods& mMethods;
  HomeService& mHomes;
  // Answers that are being written.
  std::list<LineSink*> mSinks;
};

} // namespace bilberrytrail
