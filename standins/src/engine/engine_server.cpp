#include "engine/engine_server.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/platform/http_call.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail::standins {

namespace {

constexpr Duration kEventPollPeriod = 5ms;
// Longest silence of an event stream before a comment line is sent.
constexpr Duration kKeepAlivePeriod = 500ms;
constexpr Duration kWeightTimeout = 60s;
constexpr Duration kWeightRetryDelay = 200ms;
constexpr std::uint64_t kFullSpeedLoads = 2;

} // namespace

EngineServer::EngineServer(Loop& aLoop, EngineSettings aSettings)
  : mNoFaults(std::vector<std::string>())
  , mServer(aLoop, mNoFaults)
  , mContext(aLoop, std::move(aSettings))
  , mRunner(mContext)
  , mTransfer(mContext)
{
  AddAttemptRoutes();
  AddOrderRoutes();
  AddBlockRoutes();
  AddTestRoutes();
  aLoop.Spawn([this] { ReportLoad(); });
}

void
EngineServer::Preload(const ModelId& aModel, const VersionId& aVersion)
{
  EngineOrder order;
  order.mModel = aModel;
  order.mVersion = aVersion;
  static_cast<void>(mContext.mVersions.Obey(order));
  mContext.mVersions.MarkReady(aModel, aVersion);
}

void
EngineServer::AddAttemptRoutes()
{
  mServer.OnStream(
    "POST",
    "/generate",
    [this](const HttpRequest& aRequest, HttpResponder& aResponder) {
      const auto json = ParseJson(aRequest.mBody);
      const auto request =
        json ? ReadGenerateRequest(json.value()) : json.error();
      if (!request) {
        static_cast<void>(
          aResponder.Send(ErrorResponse(400, request.error().mMessage)));
        return;
      }
      mRunner.Run(request.value(), aResponder);
    });
  mServer.OnJson("/cancel", [this](const Json& aJson) {
    JsonFields fields(aJson);
    const AttemptId attempt(fields.Text("attempt"));
    if (const auto ok = fields.Check(); !ok) {
      return ErrorResponse(400, ok.error().mMessage);
    }
    mRunner.Cancel(attempt);
    return JsonResponse(Json::object());
  });
}

void
EngineServer::AddOrderRoutes()
{
  mServer.OnJson("/orders", [this](const Json& aJson) { return Obey(aJson); });
  mServer.On("GET", "/state", [this](const HttpRequest&) {
    static_cast<void>(mContext.Work(Duration(0)));
    return JsonResponse(ToJson(mContext.Describe()));
  });
  mServer.OnStream(
    "GET",
    "/events",
    [this](const HttpRequest& aRequest, HttpResponder& aResponder) {
      const auto number = [&](std::string_view aName) {
        return ReadNumber(QueryValue(aRequest.mTarget, aName).value_or("0"));
      };
      const Duration within =
        std::chrono::milliseconds(number("report_within_ms"));
      mReports.AddReader(within);
      StreamEvents(number("after"), aResponder);
      mReports.RemoveReader(within);
    });
}

void
EngineServer::AddBlockRoutes()
{
  mServer.OnJson("/blocks/import", [this](const Json& aJson) {
    const auto request = ReadTransferRequest(aJson);
    return request
             ? JsonResponse(
                 { { "blocks", ToJson(mTransfer.Import(request.value())) } })
             : ErrorResponse(400, request.error().mMessage);
  });
  mServer.OnJson("/blocks/export", [this](const Json& aJson) {
    const auto request = ReadTransferRequest(aJson);
    return request
             ? JsonResponse(
                 { { "blocks", ToJson(mTransfer.Export(request.value())) } })
             : ErrorResponse(400, request.error().mMessage);
  });
}

void
EngineServer::AddTestRoutes()
{
  mServer.OnJson("/fault", [this](const Json& aJson) {
    const auto ok = SetFaults(mContext.mFaults, aJson, MonotonicNow());
    return ok ? JsonResponse(Json::object())
              : ErrorResponse(400, ok.error().mMessage);
  });
  mServer.OnJson("/evict",
                 [this](const Json& aJson) { return EvictBlocks(aJson); });
  mServer.On("GET", "/stats", [this](const HttpRequest&) {
    auto stats = ToJson(mContext.mCounts);
    stats["running"] = mContext.mSlots.Running();
    stats["waiting"] = mContext.mSlots.Waiting();
    stats["cached_blocks"] = mContext.mCache.Size();
    return JsonResponse(stats);
  });
}

HttpResponse
EngineServer::Obey(const Json& aJson)
{
  const auto order = ReadEngineOrder(aJson);
  if (!order) {
    return ErrorResponse(400, order.error().mMessage);
  }
  const auto needsLoad = mContext.mVersions.Obey(order.value());
  if (!needsLoad) {
    ++mContext.mCounts.mOldOrders;
    return ErrorResponse(412, needsLoad.error().mMessage);
  }
  if (needsLoad.value()) {
    mContext.mLoop.Spawn(
      [this, model = order.value().mModel, version = order.value().mVersion] {
        Load(model, version);
      });
  }
  return JsonResponse(Json::object());
}

HttpResponse
EngineServer::EvictBlocks(const Json& aJson)
{
  JsonFields fields(aJson);
  std::vector<BlockId> evicted;
  if (fields.Has("keep")) {
    evicted = mContext.mCache.EvictDownTo(fields.Unsigned32("keep"));
  } else {
    std::vector<BlockId> blocks;
    for (const auto& it : fields.List("blocks")) {
      blocks.emplace_back(it.is_number_unsigned() ? it.get<std::uint64_t>()
                                                  : 0);
    }
    evicted = mContext.mCache.Evict(blocks);
  }
  if (const auto ok = fields.Check(); !ok) {
    return ErrorResponse(400, ok.error().mMessage);
  }
  const Json body{ { "evicted", evicted.size() } };
  mContext.Report(EngineEventKind::BlockEvicted, std::move(evicted));
  return JsonResponse(body);
}

void
EngineServer::Load(const ModelId& aModel, const VersionId& aVersion)
{
  ++mLoads;
  const bool loaded = AwaitWeights();
  --mLoads;
  if (loaded) {
    mContext.mVersions.MarkReady(aModel, aVersion);
  }
}

bool
EngineServer::AwaitWeights()
{
  const auto& store = mContext.mSettings.mWeightStore;
  if (!store) {
    const auto sharers = std::max(mLoads, kFullSpeedLoads);
    return mContext.Work(mContext.mSettings.mLoadTime * sharers /
                         kFullSpeedLoads);
  }
  while (!PostForStatus(mContext.mClient,
                        *store,
                        "/weights/download",
                        Json::object(),
                        kWeightTimeout)) {
    if (!mContext.mLoop.Sleep(kWeightRetryDelay)) {
      return false;
    }
  }
  return true;
}

void
EngineServer::StreamEvents(std::uint64_t aAfter, HttpResponder& aResponder)
{
  if (!aResponder.BeginStream(200,
                              { { "Content-Type", "text/event-stream" } })) {
    return;
  }
  auto last = aAfter;
  auto lastWrite = MonotonicNow();
  while (mContext.Work(kEventPollPeriod) && aResponder.IsPeerOpen()) {
    std::string text;
    for (const auto& event : mContext.mEvents.ReadAfter(last, MonotonicNow())) {
      last = event.mSequence;
      text += "data: " + ToJson(event).dump() + "\n\n";
    }
    if (text.empty() && MonotonicNow() - lastWrite > kKeepAlivePeriod) {
      text = ": keep-alive\n\n";
    }
    if (text.empty()) {
      continue;
    }
    lastWrite = MonotonicNow();
    if (!aResponder.WriteChunk(text)) {
      return;
    }
  }
  aResponder.Abort();
}

void
EngineServer::ReportLoad()
{
  while (mContext.mLoop.Sleep(mContext.mSettings.mReportPeriod)) {
    const auto now = MonotonicNow();
    if (!mReports.IsDue(mContext.Describe(), now)) {
      continue;
    }
    mContext.mTokensPerSecond =
      static_cast<double>(std::exchange(mContext.mRecentTokens, 0)) * 1000.0 /
      ToMillis(mReports.SinceLast(now));
    EngineEvent event;
    event.mState = mContext.Describe();
    mReports.OnReported(*event.mState, now);
    mContext.mEvents.Append(std::move(event), now);
  }
}

} // namespace bilberrytrail::standins
