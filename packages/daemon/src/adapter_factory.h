#pragma once

#include "peer_channel.h"

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/backend/plain_service.h>
#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/runtime/http_client.h>

#include <memory>

namespace bilberrytrail {

// Makes the adapters through which one thread reaches the outside.
class AdapterFactory
{
public:
  virtual ~AdapterFactory() = default;

  [[nodiscard]] virtual std::unique_ptr<TableService> MakeTable(
    HttpClient& aClient) = 0;
  [[nodiscard]] virtual std::unique_ptr<PeerChannel> MakePeers(
    HttpClient& aClient) = 0;
  [[nodiscard]] virtual std::unique_ptr<Engine> MakeEngine(
    HttpClient& aClient,
    const Endpoint& aEndpoint) = 0;
  [[nodiscard]] virtual std::unique_ptr<Store> MakeStore(
    HttpClient& aClient,
    const Endpoint& aEndpoint) = 0;
  [[nodiscard]] virtual std::unique_ptr<PlainService> MakeService(
    HttpClient& aClient,
    const Endpoint& aEndpoint) = 0;
};

// Returns a factory of HTTP adapters. The seal must outlive it.
[[nodiscard]] std::unique_ptr<AdapterFactory>
MakeHttpAdapterFactory(PeerSeal& aSeal, Endpoint aTable);

} // namespace bilberrytrail
