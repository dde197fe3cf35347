#include "fleet/table_door.h"

#include <optional>

namespace bilberrytrail::standins {

namespace {

constexpr Duration kSilentTime = 30s;

// Keeps the answer of a handler.
class KeptAnswer final : public HttpResponder
{
public:
  [[nodiscard]] bool HasBegun() const noexcept override
  {
    return mResponse.has_value();
  }
  [[nodiscard]] bool IsPeerOpen() noexcept override { return true; }
  Result<void> Send(HttpResponse aResponse) override
  {
    mResponse = std::move(aResponse);
    return Ok();
  }
  Result<void> BeginStream(unsigned /*aStatus*/,
                           HttpHeaders /*aHeaders*/) override
  {
    return Fail(ErrorCode::Refused, "not a stream");
  }
  Result<void> WriteChunk(std::string_view /*aData*/) override
  {
    return Fail(ErrorCode::Refused, "not a stream");
  }
  Result<void> EndStream() override
  {
    return Fail(ErrorCode::Refused, "not a stream");
  }
  void Abort() override {}

  std::optional<HttpResponse> mResponse;
};

} // namespace

void
TableDoor::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (mFault == DoorFault::Busy || mFault == DoorFault::Many) {
    (void)aResponder.Send({ mFault == DoorFault::Busy ? 503U : 429U, {}, {} });
    return;
  }
  KeptAnswer kept;
  mTable.Handle(aRequest, kept);
  if (!kept.mResponse) {
    return;
  }
  auto& response = *kept.mResponse;
  switch (mFault) {
    case DoorFault::LosesAnswers:
      (void)mLoop.Sleep(kSilentTime);
      return;
    case DoorFault::CutsAnswers: {
      const auto half = response.mBody.substr(0, response.mBody.size() / 2);
      (void)aResponder.BeginStream(response.mStatus, response.mHeaders);
      (void)aResponder.WriteChunk(half);
      aResponder.Cut();
      return;
    }
    case DoorFault::Slow:
      (void)mLoop.Sleep(mDelay);
      break;
    default:
      break;
  }
  (void)aResponder.Send(std::move(response));
}

} // namespace bilberrytrail::standins
