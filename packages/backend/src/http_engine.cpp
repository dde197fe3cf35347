#include "event_reader.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/backend/http_backend.h>
#include <bilberrytrail/platform/http_call.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail {

namespace {

// Longest wait for the end of a response behind its last event, so that the
// connection can be kept.
constexpr Duration kDrainTime = 20ms;

class HttpGenerateStream final : public GenerateStream
{
public:
  HttpGenerateStream(EventReader aReader, GenerateHead aHead)
    : mReader(std::move(aReader))
    , mHead(std::move(aHead))
  {
  }

  const GenerateHead& Head() const noexcept override { return mHead; }

  Result<GenerateChunk> Next(Duration aTimeout) override
  {
    if (mEnded) {
      return Fail(ErrorCode::Unavailable, "the answer has ended");
    }
    const auto json = mReader.Next(aTimeout);
    if (!json) {
      return json.error();
    }
    if (!json.value()) {
      return Fail(ErrorCode::Unavailable, "the answer stopped before its end");
    }
    auto chunk = ReadGenerateChunk(*json.value());
    if (chunk && chunk.value().mEnd) {
      mEnded = true;
      static_cast<void>(mReader.Next(std::min(aTimeout, kDrainTime)));
    }
    return chunk;
  }

private:
  EventReader mReader;
  GenerateHead mHead;
  bool mEnded = false;
};

class HttpEngineEventStream final : public EngineEventStream
{
public:
  explicit HttpEngineEventStream(EventReader aReader)
    : mReader(std::move(aReader))
  {
  }

  Result<EngineEvent> Next(Duration aTimeout) override
  {
    const auto json = mReader.Next(aTimeout);
    if (!json) {
      return json.error();
    }
    if (!json.value()) {
      return Fail(ErrorCode::Unavailable, "the engine ended its events");
    }
    return ReadEngineEvent(*json.value());
  }

private:
  EventReader mReader;
};

class HttpEngine final : public Engine
{
public:
  HttpEngine(HttpClient& aClient, Endpoint aEndpoint)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
  {
  }

  CallResult<std::unique_ptr<GenerateStream>> Generate(
    const GenerateRequest& aRequest,
    Duration aTimeout) override
  {
    const auto deadline = MonotonicNow() + aTimeout;
    const auto request = MakeJsonRequest("POST", "/generate", ToJson(aRequest));
    if (!request) {
      return request.error();
    }
    auto reader = OpenEvents(request.value(), aTimeout);
    if (!reader) {
      return std::move(reader).error();
    }
    return ReadHead(std::move(reader).value(), deadline);
  }

  CallResult<void> Cancel(const AttemptId& aAttempt, Duration aTimeout) override
  {
    return PostForStatus(mClient,
                         mEndpoint,
                         "/cancel",
                         { { "attempt", aAttempt.Text() } },
                         aTimeout);
  }

  CallResult<void> SendOrder(const EngineOrder& aOrder,
                             Duration aTimeout) override
  {
    return PostForStatus(
      mClient, mEndpoint, "/orders", ToJson(aOrder), aTimeout);
  }

  CallResult<EngineState> ReadState(Duration aTimeout) override
  {
    const HttpRequest request{ "GET", "/state", {}, {} };
    const auto json = CallForJson(mClient, mEndpoint, request, aTimeout);
    if (!json) {
      return json.error();
    }
    return ToCallResult(ReadEngineState(json.value()));
  }

  CallResult<std::unique_ptr<EngineEventStream>> Subscribe(
    std::uint64_t aAfterSequence,
    Duration aReportWithin,
    Duration aTimeout) override
  {
    std::string target = "/events?after=" + std::to_string(aAfterSequence);
    if (aReportWithin > Duration::zero()) {
      const auto within =
        std::chrono::ceil<std::chrono::milliseconds>(aReportWithin);
      target += "&report_within_ms=" + std::to_string(within.count());
    }
    const HttpRequest request{ "GET", std::move(target), {}, {} };
    auto reader = OpenEvents(request, aTimeout);
    if (!reader) {
      return std::move(reader).error();
    }
    return std::unique_ptr<EngineEventStream>(
      std::make_unique<HttpEngineEventStream>(std::move(reader).value()));
  }

  CallResult<std::vector<BlockRef>> ImportBlocks(
    const TransferRequest& aRequest,
    Duration aTimeout) override
  {
    return Transfer("/blocks/import", aRequest, aTimeout);
  }

  CallResult<std::vector<BlockRef>> ExportBlocks(
    const TransferRequest& aRequest,
    Duration aTimeout) override
  {
    return Transfer("/blocks/export", aRequest, aTimeout);
  }

private:
  CallResult<EventReader> OpenEvents(const HttpRequest& aRequest,
                                     Duration aTimeout)
  {
    auto stream = mClient.Open(mEndpoint, aRequest, aTimeout);
    if (!stream) {
      return ToCallError(stream.error());
    }
    if (stream.value().Status() != 200) {
      return ToCallError(stream.value().Status(), stream.value().Headers(), {});
    }
    return EventReader(std::move(stream).value());
  }

  static CallResult<std::unique_ptr<GenerateStream>> ReadHead(
    EventReader aReader,
    Instant aDeadline)
  {
    const auto remaining = std::max(aDeadline - MonotonicNow(), Duration(0));
    const auto json = aReader.Next(remaining);
    if (!json) {
      return CallError{ CallFate::Unknown, json.error() };
    }
    if (!json.value()) {
      return FailCall(
        CallFate::Unknown, ErrorCode::Unavailable, "the answer has no head");
    }
    auto head = ReadGenerateHead(*json.value());
    if (!head) {
      return ToMalformed(std::move(head).error());
    }
    return std::unique_ptr<GenerateStream>(std::make_unique<HttpGenerateStream>(
      std::move(aReader), std::move(head).value()));
  }

  CallResult<std::vector<BlockRef>> Transfer(const std::string& aTarget,
                                             const TransferRequest& aRequest,
                                             Duration aTimeout)
  {
    const auto json =
      PostJson(mClient, mEndpoint, aTarget, ToJson(aRequest), aTimeout);
    if (!json) {
      return json.error();
    }
    JsonFields fields(json.value());
    auto refs = ReadBlockRefs(fields.List("blocks"));
    if (auto ok = fields.Check(); !ok) {
      return ToMalformed(std::move(ok).error());
    }
    return ToCallResult(std::move(refs));
  }

  HttpClient& mClient;
  Endpoint mEndpoint;
};

} // namespace

std::unique_ptr<Engine>
MakeHttpEngine(HttpClient& aClient, Endpoint aEndpoint)
{
  return std::make_unique<HttpEngine>(aClient, std::move(aEndpoint));
}

} // namespace bilberrytrail
