#include "adapter_factory.h"

#include <bilberrytrail/backend/http_backend.h>
#include <bilberrytrail/platform/http_platform.h>

namespace bilberrytrail {

namespace {

class HttpAdapterFactory final : public AdapterFactory
{
public:
  HttpAdapterFactory(PeerSeal& aSeal, Endpoint aTable)
    : mSeal(aSeal)
    , mTable(std::move(aTable))
  {
  }

  std::unique_ptr<TableService> MakeTable(HttpClient& aClient) override
  {
    return MakeHttpTableService(aClient, mTable);
  }

  std::unique_ptr<PeerChannel> MakePeers(HttpClient& aClient) override
  {
    return std::make_unique<PeerChannel>(aClient, mSeal);
  }

  std::unique_ptr<Engine> MakeEngine(HttpClient& aClient,
                                     const Endpoint& aEndpoint) override
  {
    return MakeHttpEngine(aClient, aEndpoint);
  }

  std::unique_ptr<Store> MakeStore(HttpClient& aClient,
                                   const Endpoint& aEndpoint) override
  {
    return MakeHttpStore(aClient, aEndpoint);
  }

  std::unique_ptr<PlainService> MakeService(HttpClient& aClient,
                                            const Endpoint& aEndpoint) override
  {
    return MakeHttpPlainService(aClient, aEndpoint);
  }

private:
  PeerSeal& mSeal;
  Endpoint mTable;
};

} // namespace

std::unique_ptr<AdapterFactory>
MakeHttpAdapterFactory(PeerSeal& aSeal, Endpoint aTable)
{
  return std::make_unique<HttpAdapterFactory>(aSeal, std::move(aTable));
}

} // namespace bilberrytrail
