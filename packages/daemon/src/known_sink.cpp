#include "known_sink.h"

namespace bilberrytrail {

KnownSink::KnownSink(RequestContext& aContext,
                     const HomeRequest& aRequest,
                     FrameSink& aSink)
  : mContext(aContext)
  , mSink(aSink)
  , mServer(aRequest.mServer)
  , mIsUnasked(aRequest.mIsUnasked)
{
}

Result<void>
KnownSink::Write(const HomeFrame& aFrame)
{
  if (IsLast(aFrame.mKind)) {
    mHasEnded = true;
    auto& known = *mContext.mKnown;
    if (aFrame.mEstimate && aFrame.mEstimate->mServer == mServer) {
      known.Note(mContext.KindOfRequest(), *aFrame.mEstimate, MonotonicNow());
    }
    if (aFrame.mIsSentBack) {
      known.NoteSentBack();
      mContext.mMustAsk = true;
    } else if (mIsUnasked) {
      known.NoteTaken();
    }
  }
  return mSink.Write(aFrame);
}

void
KnownSink::Finish()
{
  if (mHasEnded) {
    return;
  }
  mContext.mMustAsk = true;
  const auto& servers = mContext.mRouting->mServers;
  const auto lost = servers.find(mServer);
  mContext.mKnown->Forget([&](const ServerId& aServer) {
    const auto it = servers.find(aServer);
    return it == servers.end() || lost == servers.end() ||
           it->second.mHome == lost->second.mHome;
  });
}

} // namespace bilberrytrail
