#include "peer_service.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

// Writes frames as lines of a chunked response.
class LineSink final : public FrameSink
{
public:
  explicit LineSink(HttpResponder& aResponder)
    : mResponder(aResponder)
  {
  }

  [[nodiscard]] bool IsOpen() noexcept override
  {
    return mResponder.IsPeerOpen();
  }

  Result<void> Write(const HomeFrame& aFrame) override
  {
    return mResponder.WriteChunk(EncodeHomeFrame(aFrame) + "\n");
  }

private:
  HttpResponder& mResponder;
};

void
Refuse(HttpResponder& aResponder, unsigned aStatus, std::string aText)
{
  (void)aResponder.Send({ aStatus, {}, std::move(aText) });
}

} // namespace

PeerService::PeerService(ThreadContext& aThread,
                         PeerSigner& aSigner,
                         const RpcMethods& aMethods,
                         HomeService& aHomes)
  : mThread(aThread)
  , mSigner(aSigner)
  , mMethods(aMethods)
  , mHomes(aHomes)
{
}

void
PeerService::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const auto signature = FindHeader(aRequest.mHeaders, kSignatureHeader);
  const auto sender = mSigner.Check(signature, aRequest.mBody);
  if (!sender) {
    Refuse(aResponder, 401, sender.error().mMessage);
  } else if (aRequest.mTarget == kRpcPath) {
    (void)aResponder.Send({ 200, {}, mMethods.Serve(aRequest.mBody) });
  } else if (aRequest.mTarget == kRunPath) {
    Run(aRequest, aResponder);
  } else {
    Refuse(aResponder, 404, "no such path");
  }
}

void
PeerService::Run(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const auto request = DecodeHomeRequest(aRequest.mBody);
  if (!request) {
    Refuse(aResponder, 400, request.error().mMessage);
    return;
  }
  if (!aResponder.BeginStream(200, {})) {
    return;
  }
  LineSink sink(aResponder);
  mHomes.Run(mThread, request.value(), sink);
  (void)aResponder.EndStream();
}

} // namespace bilberrytrail
