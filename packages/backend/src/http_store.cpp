#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/backend/http_backend.h>
#include <bilberrytrail/backend/store_json.h>
#include <bilberrytrail/platform/http_call.h>

#include <utility>

namespace bilberrytrail {

namespace {

class HttpStore final : public Store
{
public:
  HttpStore(HttpClient& aClient, Endpoint aEndpoint)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
  {
  }

  CallResult<BlockRef> Reserve(BlockId aBlock,
                               std::uint64_t aBytes,
                               Duration aTimeout) override
  {
    const auto json =
      PostJson(mClient,
               mEndpoint,
               "/blocks/reserve",
               { { "block", aBlock.Value() }, { "bytes", aBytes } },
               aTimeout);
    if (!json) {
      return json.error();
    }
    return ToCallResult(ReadBlockRef(json.value()));
  }

  CallResult<void> Seal(const BlockRef& aRef, Duration aTimeout) override
  {
    return PostForStatus(
      mClient, mEndpoint, "/blocks/seal", ToJson(aRef), aTimeout);
  }

  CallResult<std::vector<BlockPin>> Pin(const std::vector<BlockRef>& aRefs,
                                        Duration aLength,
                                        Duration aTimeout) override
  {
    const Json body{ { "refs", ToJson(aRefs) },
                     { "length_us",
                       static_cast<std::uint64_t>(aLength.count()) } };
    const auto json =
      PostJson(mClient, mEndpoint, "/blocks/pin", body, aTimeout);
    if (!json) {
      return json.error();
    }
    JsonFields fields(json.value());
    auto pins = ReadBlockPins(fields.List("pins"));
    if (auto ok = fields.Check(); !ok) {
      return ToMalformed(std::move(ok).error());
    }
    return ToCallResult(std::move(pins));
  }

  CallResult<void> Unpin(const std::vector<std::string>& aPins,
                         Duration aTimeout) override
  {
    return PostForStatus(
      mClient, mEndpoint, "/blocks/unpin", { { "pins", aPins } }, aTimeout);
  }

  CallResult<void> Free(const BlockRef& aRef, Duration aTimeout) override
  {
    return PostForStatus(
      mClient, mEndpoint, "/blocks/free", ToJson(aRef), aTimeout);
  }

  CallResult<StoreInventory> ReadInventory(Duration aTimeout) override
  {
    const HttpRequest request{ "GET", "/inventory", {}, {} };
    const auto json = CallForJson(mClient, mEndpoint, request, aTimeout);
    if (!json) {
      return json.error();
    }
    return ToCallResult(ReadStoreInventory(json.value()));
  }

private:
  HttpClient& mClient;
  Endpoint mEndpoint;
};

} // namespace

std::unique_ptr<Store>
MakeHttpStore(HttpClient& aClient, Endpoint aEndpoint)
{
  return std::make_unique<HttpStore>(aClient, std::move(aEndpoint));
}

} // namespace bilberrytrail
