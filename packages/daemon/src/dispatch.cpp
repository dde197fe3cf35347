#include "dispatch.h"

namespace bilberrytrail {

Result<void, HttpError>
RunAtHome(RequestContext& aContext,
          HomeService& aHomes,
          const HomeRequest& aRequest,
          FrameSink& aSink)
{
  const ControlView& view = *aContext.mRouting;
  const auto server = view.mServers.find(aRequest.mServer);
  const DaemonId home =
    server == view.mServers.end() ? view.mSelf : server->second.mHome;
  const auto* peer = view.FindMember(home);
  if (home == view.mSelf || peer == nullptr) {
    aHomes.Run(aContext.mThread, aRequest, aSink);
    return Ok();
  }
  return aContext.mThread.Peers().Run(*peer, aRequest, aSink);
}

} // namespace bilberrytrail
