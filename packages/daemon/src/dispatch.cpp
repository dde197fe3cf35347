#include "dispatch.h"

namespace bilberrytrail {

Result<void, HttpError>
RunAtHome(ThreadContext& aThread,
          const ControlView& aView,
          HomeService& aHomes,
          const HomeRequest& aRequest,
          FrameSink& aSink)
{
  const auto server = aView.mServers.find(aRequest.mServer);
  const DaemonId home =
    server == aView.mServers.end() ? aView.mSelf : server->second.mHome;
  const auto* peer = aView.FindMember(home);
  if (home == aView.mSelf || peer == nullptr) {
    aHomes.Run(aThread, aRequest, aSink);
    return Ok();
  }
  return aThread.Peers().Run(*peer, aRequest, aSink);
}

} // namespace bilberrytrail
