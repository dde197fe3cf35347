#include "store/store_server.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/backend/store_json.h>

#include <algorithm>
#include <random>

namespace bilberrytrail::standins {

namespace {

constexpr std::string_view kBlockPath = "/blocks/";
constexpr const char* kGenerationHeader = "Generation";

// Returns a number that a restarted store does not have again.
std::uint64_t
NewIncarnation()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U | device()) | 1U;
}

unsigned
StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::NotFound:
      return 404;
    case ErrorCode::TooLarge:
      return 413;
    case ErrorCode::Exhausted:
      return 429;
    case ErrorCode::Corrupt:
      return 400;
    default:
      return 409;
  }
}

HttpResponse
ToResponse(const Error& aError)
{
  return ErrorResponse(StatusOf(aError.mCode), aError.mMessage);
}

HttpResponse
ToResponse(const Result<void>& aResult)
{
  return aResult ? JsonResponse(Json::object()) : ToResponse(aResult.error());
}

// Reads block and generation of a /blocks/ID?generation=N target.
BlockRef
ReadTarget(const HttpRequest& aRequest)
{
  const auto id = PathOf(aRequest.mTarget).substr(kBlockPath.size());
  const auto generation = QueryValue(aRequest.mTarget, "generation");
  BlockRef ref;
  ref.mBlock = BlockId(ReadNumber(id));
  ref.mGeneration = Generation(ReadNumber(generation.value_or("0")));
  return ref;
}

} // namespace

StoreServer::StoreServer(Loop& aLoop, const StoreSettings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFaults({ "calls", "bytes" })
  , mServer(aLoop, mFaults)
  , mTable(aSettings.mLimits)
  , mLink(aSettings.mLinkBytesPerSecond)
  , mMeter(aSettings.mMeterWindow)
  , mMemory(aSettings.mMemoryBytesPerSecond)
  , mDisk(aSettings.mDiskBytesPerSecond)
  , mIncarnation(NewIncarnation())
{
  AddByteRoutes();
  AddCallRoutes();
  AddTestRoutes();
}

void
StoreServer::AddCallRoutes()
{
  mServer.OnJson("/blocks/reserve", "calls", [this](const Json& aJson) {
    return Reserve(aJson);
  });
  mServer.OnJson("/blocks/seal", "calls", [this](const Json& aJson) {
    const auto ref = ReadBlockRef(aJson);
    return ref ? ToResponse(mTable.Seal(ref.value())) : ToResponse(ref.error());
  });
  mServer.OnJson("/blocks/free", "calls", [this](const Json& aJson) {
    const auto ref = ReadBlockRef(aJson);
    return ref ? ToResponse(mTable.Free(ref.value())) : ToResponse(ref.error());
  });
  mServer.OnJson(
    "/blocks/pin", "calls", [this](const Json& aJson) { return Pin(aJson); });
  mServer.OnJson("/blocks/unpin", "calls", [this](const Json& aJson) {
    return Unpin(aJson);
  });
  mServer.On("GET", "/inventory", "calls", [this](const HttpRequest&) {
    return ReadInventory();
  });
}

void
StoreServer::AddByteRoutes()
{
  const std::string path(kBlockPath);
  mServer.On("GET", path, "bytes", [this](const HttpRequest& aRequest) {
    return ReadBytes(aRequest);
  });
  mServer.On("PUT", path, "bytes", [this](const HttpRequest& aRequest) {
    return WriteBytes(aRequest);
  });
}

void
StoreServer::AddTestRoutes()
{
  mServer.On("POST", "/restart", [this](const HttpRequest&) {
    Restart();
    return JsonResponse(Json::object());
  });
  mServer.On("GET", "/stats", [this](const HttpRequest&) {
    return JsonResponse({ { "reads", mReads },
                          { "writes", mWrites },
                          { "read_bytes", mReadBytes },
                          { "written_bytes", mWrittenBytes },
                          { "refused_reads", mRefusedReads },
                          { "pins_asked", mPinsAsked },
                          { "peak_window_bytes", mMeter.PeakBytes() } });
  });
}

HttpResponse
StoreServer::Reserve(const Json& aJson)
{
  JsonFields fields(aJson);
  const BlockId block(fields.Unsigned("block"));
  const auto bytes = fields.Unsigned("bytes");
  if (const auto ok = fields.Check(); !ok) {
    return ToResponse(ok.error());
  }
  if (mServer.ActiveFault() == FaultMode::Full) {
    return ErrorResponse(429, "the store is full");
  }
  const auto ref = mTable.Reserve(block, bytes, MonotonicNow());
  return ref ? JsonResponse(ToJson(ref.value())) : ToResponse(ref.error());
}

HttpResponse
StoreServer::Pin(const Json& aJson)
{
  JsonFields fields(aJson);
  const auto refs = ReadBlockRefs(fields.List("refs"));
  const auto micros = fields.Unsigned("length_us");
  if (const auto ok = fields.Check(); !ok) {
    return ToResponse(ok.error());
  }
  if (!refs) {
    return ToResponse(refs.error());
  }
  ++mPinsAsked;
  const auto most =
    static_cast<std::uint64_t>(mSettings.mLimits.mPinTime.count());
  const Duration length(static_cast<std::int64_t>(std::min(micros, most)));
  const auto pins = mTable.Pin(refs.value(), length, MonotonicNow());
  return JsonResponse({ { "pins", ToJson(pins) } });
}

HttpResponse
StoreServer::Unpin(const Json& aJson)
{
  JsonFields fields(aJson);
  std::vector<std::string> pins;
  for (const auto& it : fields.List("pins")) {
    if (!it.is_string()) {
      fields.Reject("pins");
      break;
    }
    pins.push_back(it.get<std::string>());
  }
  if (const auto ok = fields.Check(); !ok) {
    return ToResponse(ok.error());
  }
  mTable.Unpin(pins);
  return JsonResponse(Json::object());
}

HttpResponse
StoreServer::ReadInventory()
{
  mTable.Expire(MonotonicNow());
  auto inventory = mTable.Inventory();
  inventory.mIncarnation = mIncarnation;
  return JsonResponse(ToJson(inventory));
}

HttpResponse
StoreServer::ReadBytes(const HttpRequest& aRequest)
{
  const bool corrupts = mServer.ActiveFault() == FaultMode::Corrupt;
  mTable.Expire(MonotonicNow());
  const auto ref = ReadTarget(aRequest);
  auto content = mTable.Read(ref.mBlock, ref.mGeneration);
  if (!content) {
    ++mRefusedReads;
    return ToResponse(content.error());
  }
  auto bytes = std::move(content).value();
  if (!Move(mTable.TierOf(ref.mBlock), bytes.size())) {
    return NotRunResponse("stopping");
  }
  if (corrupts && !bytes.empty()) {
    bytes[bytes.size() / 2] = static_cast<char>(~bytes[bytes.size() / 2]);
  }
  ++mReads;
  mReadBytes += bytes.size();
  return HttpResponse{ 200,
                       { { kGenerationHeader,
                           std::to_string(ref.mGeneration.Value()) } },
                       std::move(bytes) };
}

HttpResponse
StoreServer::WriteBytes(const HttpRequest& aRequest)
{
  mTable.Expire(MonotonicNow());
  const auto ref = ReadTarget(aRequest);
  const auto size = aRequest.mBody.size();
  const auto begun = mTable.BeginWrite(ref.mBlock, ref.mGeneration, size);
  if (!begun) {
    return ToResponse(begun.error());
  }
  if (!Move(mTable.TierOf(ref.mBlock), size)) {
    return NotRunResponse("stopping");
  }
  const auto ended =
    mTable.EndWrite(ref.mBlock, ref.mGeneration, aRequest.mBody);
  if (ended) {
    ++mWrites;
    mWrittenBytes += size;
  }
  return ToResponse(ended);
}

bool
StoreServer::Move(StoreTier aTier, std::uint64_t aBytes)
{
  const auto now = MonotonicNow();
  const auto bytes = static_cast<double>(aBytes);
  mMeter.Add(now, aBytes);
  auto& tier = aTier == StoreTier::Memory ? mMemory : mDisk;
  const auto end =
    std::max(mLink.Reserve(now, bytes), tier.Reserve(now, bytes));
  return mLoop.Sleep(end - now);
}

void
StoreServer::Restart()
{
  mTable = BlockTable(mSettings.mLimits);
  mIncarnation = NewIncarnation();
}

} // namespace bilberrytrail::standins
