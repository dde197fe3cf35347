#include <bilberrytrail/platform/http_call.h>
#include <bilberrytrail/platform/http_platform.h>
#include <bilberrytrail/platform/platform_json.h>
#include <bilberrytrail/platform/vm_list_change.h>

#include <utility>

namespace bilberrytrail {

namespace {

class HttpTableService final : public TableService
{
public:
  HttpTableService(HttpClient& aClient, Endpoint aEndpoint)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
  {
  }

  CallResult<std::optional<TableRow>> Read(const std::string& aKey,
                                           Duration aTimeout) override
  {
    const auto json = PostJson(
      mClient, mEndpoint, "/table/read", { { "key", aKey } }, aTimeout);
    if (!json) {
      return json.error();
    }
    if (json.value().is_object() && json.value().contains("row") &&
        json.value()["row"].is_null()) {
      return std::optional<TableRow>();
    }
    JsonFields fields(json.value());
    auto row = ToCallResult(ReadTableRow(fields.Object("row")));
    if (!row) {
      return std::move(row).error();
    }
    return std::optional<TableRow>(std::move(row).value());
  }

  CallResult<std::vector<TableRow>> Scan(const std::string& aPrefix,
                                         std::size_t aLimit,
                                         Duration aTimeout) override
  {
    const auto json = PostJson(mClient,
                               mEndpoint,
                               "/table/scan",
                               { { "prefix", aPrefix }, { "limit", aLimit } },
                               aTimeout);
    if (!json) {
      return json.error();
    }
    JsonFields fields(json.value());
    const auto& list = fields.List("rows");
    if (auto ok = fields.Check(); !ok) {
      return ToMalformed(std::move(ok).error());
    }
    return ToCallResult(ReadTableRows(list));
  }

  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& aWrites,
                                   Duration aTimeout) override
  {
    auto writes = Json::array();
    for (const auto& write : aWrites) {
      writes.push_back(ToJson(write));
    }
    const auto json = PostJson(mClient,
                               mEndpoint,
                               "/table/commit",
                               { { "writes", std::move(writes) } },
                               aTimeout);
    if (!json) {
      return json.error();
    }
    return ToCallResult(ReadCommitOutcome(json.value()));
  }

private:
  HttpClient& mClient;
  Endpoint mEndpoint;
};

class HttpObjectStore final : public ObjectStore
{
public:
  HttpObjectStore(HttpClient& aClient, Endpoint aEndpoint)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
  {
  }

  CallResult<std::optional<std::string>> Get(const std::string& aKey,
                                             Duration aTimeout) override
  {
    auto response = Exchange({ "GET", Target(aKey), {}, {} }, aTimeout);
    if (!response) {
      return std::move(response).error();
    }
    if (response.value().mStatus == 404) {
      return std::optional<std::string>();
    }
    if (response.value().mStatus != 200) {
      return ToError(response.value());
    }
    return std::optional<std::string>(std::move(response.value().mBody));
  }

  CallResult<void> Put(const std::string& aKey,
                       const std::string& aBody,
                       Duration aTimeout) override
  {
    const auto response =
      Exchange({ "PUT", Target(aKey), {}, aBody }, aTimeout);
    if (!response) {
      return response.error();
    }
    const auto status = response.value().mStatus;
    if (status != 200 && status != 201 && status != 204) {
      return ToError(response.value());
    }
    return Ok();
  }

private:
  static std::string Target(const std::string& aKey)
  {
    return "/objects/" + EscapePathSegment(aKey);
  }

  static CallError ToError(const HttpResponse& aResponse)
  {
    return ToCallError(aResponse.mStatus, aResponse.mHeaders, aResponse.mBody);
  }

  CallResult<HttpResponse> Exchange(const HttpRequest& aRequest,
                                    Duration aTimeout)
  {
    auto response = mClient.Call(mEndpoint, aRequest, aTimeout);
    if (!response) {
      return ToCallError(response.error());
    }
    return std::move(response).value();
  }

  HttpClient& mClient;
  Endpoint mEndpoint;
};

class HttpVmList final : public VmList
{
public:
  HttpVmList(HttpClient& aClient, Endpoint aEndpoint)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
  {
  }

  CallResult<VmListAnswer> Fetch(const std::string& aTag,
                                 Duration aTimeout) override
  {
    HttpRequest request{ "GET", "/vms", {}, {} };
    if (!aTag.empty()) {
      request.mHeaders.push_back({ "If-None-Match", aTag });
    }
    const auto response = mClient.Call(mEndpoint, request, aTimeout);
    if (!response) {
      return ToCallError(response.error());
    }
    const HttpResponse& answer = response.value();
    if (answer.mStatus == kNotModified && !aTag.empty()) {
      return VmListAnswer{ true, {}, aTag };
    }
    if (answer.mStatus < 200 || answer.mStatus >= 300) {
      return ToCallError(answer.mStatus, answer.mHeaders, answer.mBody);
    }
    return ToCallResult(Read(answer));
  }

private:
  static constexpr unsigned kNotModified = 304;

  static Result<VmListAnswer> Read(const HttpResponse& aResponse)
  {
    const auto json = ParseJson(aResponse.mBody);
    if (!json) {
      return json.error();
    }
    JsonFields fields(json.value());
    auto vms = ReadVmEntries(fields.List("vms"));
    if (auto ok = fields.Check(); !ok) {
      return std::move(ok).error();
    }
    if (!vms) {
      return std::move(vms).error();
    }
    return VmListAnswer{ false,
                         std::move(vms).value(),
                         std::string(FindHeader(aResponse.mHeaders, "ETag")) };
  }

  HttpClient& mClient;
  Endpoint mEndpoint;
};

} // namespace

std::unique_ptr<TableService>
MakeHttpTableService(HttpClient& aClient, Endpoint aEndpoint)
{
  return std::make_unique<HttpTableService>(aClient, std::move(aEndpoint));
}

std::unique_ptr<ObjectStore>
MakeHttpObjectStore(HttpClient& aClient, Endpoint aEndpoint)
{
  return std::make_unique<HttpObjectStore>(aClient, std::move(aEndpoint));
}

std::unique_ptr<VmList>
MakeHttpVmList(HttpClient& aClient, Endpoint aEndpoint)
{
  return std::make_unique<HttpVmList>(aClient, std::move(aEndpoint));
}

} // namespace bilberrytrail
