#include "platform/platform_server.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/platform/platform_json.h>

namespace bilberrytrail::standins {

namespace {

constexpr std::string_view kObjectPath = "/objects/";

std::string
ObjectKey(const HttpRequest& aRequest)
{
  return UnescapePathSegment(
    PathOf(aRequest.mTarget).substr(kObjectPath.size()));
}

Result<std::vector<TableWrite>>
ReadWrites(const Json& aJson)
{
  JsonFields fields(aJson);
  std::vector<TableWrite> writes;
  for (const auto& it : fields.List("writes")) {
    auto write = ReadTableWrite(it);
    if (!write) {
      return std::move(write).error();
    }
    writes.push_back(std::move(write).value());
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return writes;
}

} // namespace

PlatformServer::PlatformServer(Loop& aLoop, const PlatformSettings& aSettings)
  : mFaults({ "table", "objects", "list", "weights" })
  , mServer(aLoop, mFaults)
  , mList(aSettings.mListLag)
  , mWeights(aLoop,
             aSettings.mDownloadTime,
             aSettings.mFullSpeedDownloads,
             aSettings.mMostDownloads)
{
  AddTableRoutes();
  AddObjectRoutes();
  AddListRoutes();
  mServer.OnJson("/weights/download", "weights", [this](const Json&) {
    return mWeights.Download();
  });
  mServer.On("GET", "/stats", [this](const HttpRequest&) {
    return JsonResponse(Stats());
  });
}

void
PlatformServer::AddTableRoutes()
{
  mServer.OnJson("/table/read", "table", [this](const Json& aJson) {
    JsonFields fields(aJson);
    const auto key = fields.Text("key");
    if (const auto ok = fields.Check(); !ok) {
      return ErrorResponse(400, ok.error().mMessage);
    }
    ++mCounts.mReads;
    const auto row = mTable.Read(key);
    return JsonResponse({ { "row", row ? ToJson(*row) : Json() } });
  });
  mServer.OnJson("/table/scan", "table", [this](const Json& aJson) {
    JsonFields fields(aJson);
    const auto prefix = fields.Text("prefix");
    const auto limit = fields.Unsigned("limit");
    if (const auto ok = fields.Check(); !ok) {
      return ErrorResponse(400, ok.error().mMessage);
    }
    ++mCounts.mReads;
    return JsonResponse({ { "rows", ToJson(mTable.Scan(prefix, limit)) } });
  });
  mServer.OnJson("/table/commit", "table", [this](const Json& aJson) {
    return Commit(aJson);
  });
}

void
PlatformServer::AddObjectRoutes()
{
  const std::string path(kObjectPath);
  mServer.On("GET", path, "objects", [this](const HttpRequest& aRequest) {
    ++mCounts.mObjectReads;
    const auto it = mObjects.find(ObjectKey(aRequest));
    return it == mObjects.end() ? ErrorResponse(404, "no such object")
                                : HttpResponse{ 200, {}, it->second };
  });
  mServer.On("PUT", path, "objects", [this](const HttpRequest& aRequest) {
    ++mCounts.mObjectWrites;
    mObjects[ObjectKey(aRequest)] = aRequest.mBody;
    return JsonResponse(Json::object());
  });
}

void
PlatformServer::AddListRoutes()
{
  mServer.On("GET", "/vms", "list", [this](const HttpRequest& aRequest) {
    ++mCounts.mListReads;
    auto response = JsonResponse({ { "vms", mList.Read(MonotonicNow()) } });
    const std::string tag = '"' + Sha256Hex(response.mBody) + '"';
    if (FindHeader(aRequest.mHeaders, "If-None-Match") == tag) {
      ++mCounts.mListUnchanged;
      return HttpResponse{ 304, { { "ETag", tag } }, {} };
    }
    response.mHeaders.push_back({ "ETag", tag });
    return response;
  });
  mServer.On("PUT", "/vms", [this](const HttpRequest& aRequest) {
    return SetList(aRequest);
  });
}

HttpResponse
PlatformServer::Commit(const Json& aJson)
{
  const auto writes = ReadWrites(aJson);
  if (!writes) {
    return ErrorResponse(400, writes.error().mMessage);
  }
  ++mCounts.mWrites;
  const auto outcome = mTable.Commit(writes.value());
  if (!outcome.mCommitted) {
    ++mCounts.mConflicts;
  }
  return JsonResponse(ToJson(outcome));
}

HttpResponse
PlatformServer::SetList(const HttpRequest& aRequest)
{
  const auto json = ParseJson(aRequest.mBody);
  if (!json) {
    return ErrorResponse(400, json.error().mMessage);
  }
  JsonFields fields(json.value());
  const auto& list = fields.List("vms");
  if (const auto ok = fields.Check(); !ok) {
    return ErrorResponse(400, ok.error().mMessage);
  }
  for (const auto& it : list) {
    if (const auto entry = ReadVmEntry(it); !entry) {
      return ErrorResponse(400, entry.error().mMessage);
    }
  }
  mList.Set(list, MonotonicNow());
  return JsonResponse(Json::object());
}

Json
PlatformServer::Stats() const
{
  return { { "reads", mCounts.mReads },
           { "writes", mCounts.mWrites },
           { "conflicts", mCounts.mConflicts },
           { "object_reads", mCounts.mObjectReads },
           { "object_writes", mCounts.mObjectWrites },
           { "list_reads", mCounts.mListReads },
           { "list_unchanged", mCounts.mListUnchanged },
           { "weight_downloads", mWeights.Downloads() },
           { "weight_downloads_highest", mWeights.HighestConcurrent() } };
}

} // namespace bilberrytrail::standins
