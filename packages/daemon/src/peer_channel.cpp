#include "peer_channel.h"

namespace bilberrytrail {

namespace {

// Longest silence of a home, which sends a frame or a blank line every
// kKeepAlivePeriod.
constexpr Duration kFrameTimeout = 5 * kKeepAlivePeriod;

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
  return CallRpc(
    aMethod, aParams, [&](const std::string& aBody) -> Result<std::string> {
      const HttpRequest request{
        "POST", std::string(kRpcPath), {}, mSeal.Seal(aPeer.mId, aBody)
      };
      auto response = mClient.Call(aPeer.mEndpoint, request, aTimeout);
      if (!response) {
        return Fail(response.error().mCode, response.error().mMessage);
      }
      if (response.value().mStatus != 200) {
        return Fail(ErrorCode::Refused,
                    "peer answered " +
                      std::to_string(response.value().mStatus));
      }
      auto reply = mSeal.Open(response.value().mBody);
      if (!reply) {
        return std::move(reply).error();
      }
      return std::move(reply).value().mBody;
    });
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
  auto opened = mClient.Open(aPeer.mEndpoint, request, kFrameTimeout);
  if (!opened) {
    return std::move(opened).error();
  }
  auto stream = std::move(opened).value();
  if (stream.Status() != 200) {
    return HttpError{ SendState::NotSent,
                      ErrorCode::Refused,
                      "peer answered " + std::to_string(stream.Status()) };
  }
  const auto run = mRuns.insert(mRuns.end(), OpenRun{ aPeer.mId, stream });
  auto result = Relay(stream, aSink);
  mRuns.erase(run);
  return result;
}

void
PeerChannel::CutDead(const ControlView& aView)
{
  for (auto& run : mRuns) {
    if (aView.mDead.contains(run.mPeer)) {
      run.mStream.Cancel();
    }
  }
}

Result<void, HttpError>
PeerChannel::Relay(HttpStream& aStream, FrameSink& aSink)
{
  while (true) {
    auto line = aStream.ReadLine(kFrameTimeout);
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
