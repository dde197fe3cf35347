#include "peer_channel.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Longest silence of a home, which sends a frame or a blank line every
// kKeepAlivePeriod.
constexpr Duration kFrameTimeout = 5 * kKeepAlivePeriod;
// Longest wait for the first sign of a home that was not asked before: it may
// be frozen.
constexpr Duration kUnaskedTimeout = 500ms;

HttpError
Cut(Error aError)
{
  return HttpError{ SendState::MaybeSent,
                    aError.mCode,
                    std::move(aError.mMessage) };
}

} // namespace

Result<Json>
PeerChannel::Call(const MemberRecord& aPeer,
                  const std::string& aMethod,
                  const Json& aParams,
                  Duration aTimeout)
{
  auto sent = SendState::MaybeSent;
  return CallRpc(aMethod, aParams, [&](const std::string& aBody) {
    return Exchange(aPeer, aBody, aTimeout, sent);
  });
}

CallResult<Json>
PeerChannel::CallOnce(const MemberRecord& aPeer,
                      const std::string& aMethod,
                      const Json& aParams,
                      Duration aTimeout)
{
  auto sent = SendState::MaybeSent;
  auto result = CallRpc(aMethod, aParams, [&](const std::string& aBody) {
    return Exchange(aPeer, aBody, aTimeout, sent);
  });
  if (!result) {
    const auto fate = sent == SendState::NotSent ? CallDisposition::NotRun
                                                 : CallDisposition::Unknown;
    return CallError{ fate, std::move(result).error() };
  }
  return std::move(result).value();
}

Result<std::string>
PeerChannel::Exchange(const MemberRecord& aPeer,
                      const std::string& aBody,
                      Duration aTimeout,
                      SendState& aSent)
{
  const HttpRequest request{
    "POST", std::string(kRpcPath), {}, mSeal.Seal(aPeer.mId, aBody)
  };
  auto response = mClient.Call(aPeer.mEndpoint, request, aTimeout);
  if (!response) {
    aSent = response.error().mSent;
    return Fail(response.error().mCode, response.error().mMessage);
  }
  if (response.value().mStatus != 200) {
    // A peer refuses before it runs anything.
    aSent = SendState::NotSent;
    return Fail(ErrorCode::Refused,
                "peer answered " + std::to_string(response.value().mStatus));
  }
  auto reply = mSeal.Open(response.value().mBody);
  if (!reply) {
    return std::move(reply).error();
  }
  return std::move(reply).value().mBody;
}

Result<void, HttpError>
PeerChannel::Run(const MemberRecord& aPeer,
                 const HomeRequest& aRequest,
                 FrameSink& aSink)
{
  const HttpRequest request{ "POST",
                             std::string(kRunPath),
                             {},
                             mSeal.Seal(aPeer.mId,
                                        EncodeHomeRequest(aRequest)) };
  // A home sends the head before the request waits in its queue.
  const Duration patience =
    aRequest.mIsUnasked ? kUnaskedTimeout : kFrameTimeout;
  auto opened = mClient.Open(
    aPeer.mEndpoint, request, std::min(patience, aRequest.mTimeLeft));
  if (!opened) {
    return std::move(opened).error();
  }
  auto stream = std::move(opened).value();
  if (stream.Status() != 200) {
    return HttpError{ SendState::NotSent,
                      ErrorCode::Refused,
                      "peer answered " + std::to_string(stream.Status()) };
  }
  const auto run =
    mRuns.insert(mRuns.end(), OpenRun{ aPeer.mId, stream, aSink });
  auto result = Relay(stream, aSink);
  mRuns.erase(run);
  return result;
}

void
PeerChannel::CutOver(const ControlView& aView)
{
  for (auto& run : mRuns) {
    if (aView.mDead.contains(run.mPeer) || run.mSink.IsAbandoned()) {
      run.mStream.Cancel();
    }
  }
}

Result<void, HttpError>
PeerChannel::Relay(HttpStream& aStream, FrameSink& aSink)
{
  while (true) {
    auto line = aStream.ReadLine(MonotonicNow() + kFrameTimeout);
    if (!line) {
      return Cut(std::move(line).error());
    }
    if (!line.value().has_value()) {
      return Ok();
    }
    if (line.value()->empty()) {
      continue;
    }
    auto frame = DecodeHomeFrame(*line.value());
    if (!frame) {
      return Cut(std::move(frame).error());
    }
    if (auto ok = aSink.Write(frame.value()); !ok) {
      return Cut(std::move(ok).error());
    }
  }
}

} // namespace bilberrytrail
