#include "dispatch.h"

namespace bilberrytrail {

namespace {

// Passes the frames of a home on and remembers what it says of its server.
class KnownSink final : public FrameSink
{
public:
  KnownSink(RequestContext& aContext,
            const HomeRequest& aRequest,
            FrameSink& aSink)
    : mContext(aContext)
    , mRequest(aRequest)
    , mSink(aSink)
  {
  }

  [[nodiscard]] bool IsOpen() noexcept override { return mSink.IsOpen(); }
  void NoteSent() override { mSink.NoteSent(); }

  Result<void> Write(const HomeFrame& aFrame) override
  {
    if (IsLast(aFrame.mKind)) {
      TakeLast(aFrame);
    }
    return mSink.Write(aFrame);
  }

private:
  void TakeLast(const HomeFrame& aFrame)
  {
    auto& known = *mContext.mKnown;
    if (aFrame.mEstimate && aFrame.mEstimate->mServer == mRequest.mServer) {
      known.Note(mContext.KindOfRequest(), *aFrame.mEstimate, MonotonicNow());
    }
    if (aFrame.mIsSentBack) {
      known.NoteSentBack();
      mContext.mMustAsk = true;
    } else if (mRequest.mIsUnasked) {
      known.NoteTaken();
    }
  }

  RequestContext& mContext;
  const HomeRequest& mRequest;
  FrameSink& mSink;
};

} // namespace

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
  KnownSink sink(aContext, aRequest, aSink);
  if (home == view.mSelf || peer == nullptr) {
    aHomes.Run(aContext.mThread, aRequest, sink);
    return Ok();
  }
  auto result = aContext.mThread.Peers().Run(*peer, aRequest, sink);
  if (!result) {
    aContext.mMustAsk = true;
    aContext.mKnown->Forget([&](const ServerId& aServer) {
      const auto it = view.mServers.find(aServer);
      return it == view.mServers.end() || it->second.mHome == home;
    });
  }
  return result;
}

} // namespace bilberrytrail
