#include "peer_service.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

void
Refuse(HttpResponder& aResponder, unsigned aStatus, std::string aText)
{
  (void)aResponder.Send({ aStatus, {}, std::move(aText) });
}

} // namespace

PeerService::PeerService(ThreadContext& aThread,
                         PeerSeal& aSeal,
                         const RpcMethods& aMethods,
                         HomeService& aHomes)
  : mThread(aThread)
  , mSeal(aSeal)
  , mMethods(aMethods)
  , mHomes(aHomes)
{
}

void
PeerService::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const auto message = mSeal.Open(aRequest.mBody);
  if (!message) {
    Refuse(aResponder, 401, message.error().mMessage);
    return;
  }
  const PeerMessage& opened = message.value();
  if (aRequest.mTarget == kRpcPath) {
    const std::string reply = mMethods.Serve(opened.mBody);
    (void)aResponder.Send({ 200, {}, mSeal.Seal(opened.mSender, reply) });
  } else if (aRequest.mTarget == kRunPath) {
    Run(opened.mBody, aResponder);
  } else {
    Refuse(aResponder, 404, "no such path");
  }
}

void
PeerService::KeepAlive()
{
  const auto now = MonotonicNow();
  for (auto* sink : mSinks) {
    sink->KeepAlive(now);
  }
}

void
PeerService::Run(const std::string& aBody, HttpResponder& aResponder)
{
  const auto request = DecodeHomeRequest(aBody);
  if (!request) {
    Refuse(aResponder, 400, request.error().mMessage);
    return;
  }
  if (!aResponder.BeginStreamLater(200, {})) {
    return;
  }
  LineSink sink(mThread.GetLoop(), aResponder);
  const auto it = mSinks.insert(mSinks.end(), &sink);
  mHomes.Run(mThread, request.value(), sink);
  sink.Finish();
  mSinks.erase(it);
  if (!sink.HasEnded()) {
    (void)aResponder.EndStream();
  }
}

} // namespace bilberrytrail
