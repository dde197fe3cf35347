#pragma once

#include <bilberrytrail/entry/cache_directory.h>
#include <bilberrytrail/entry/request_flow.h>
#include <bilberrytrail/entry/site_feed.h>
#include <bilberrytrail/entry/weight_rollout.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/runtime/http_server.h>

#include <memory>

namespace bilberrytrail {

// A server's reply about the orders it has accepted.
struct OrderState
{
  // Orders accepted since the server started.
  std::uint64_t mAccepted = 0;
  bool mIsBusy = false;
  std::vector<LoadedModel> mModels;
};

// Sends orders to backend servers. It only translates the protocol.
class OrderPort
{
public:
  virtual ~OrderPort() = default;

  [[nodiscard]] virtual CallResult<OrderState> ReadState(
    const WeightOrder& aOrder,
    Duration aTimeout) = 0;
  // Orders a server to load weights once its running requests have finished,
  // unless it has accepted another order since the state was read.
  [[nodiscard]] virtual OrderOutcome Send(const WeightOrder& aOrder,
                                          const OrderState& aState,
                                          const DaemonId& aHolder,
                                          FencingNumber aFence,
                                          Duration aTimeout) = 0;
};

// The platform that a daemon runs on. Each object it makes is used on the
// thread of the loop that it was made for and must not outlive the platform.
class EntryPlatform
{
public:
  virtual ~EntryPlatform() = default;

  [[nodiscard]] virtual std::unique_ptr<SiteFeed> MakeFeed(
    Loop& aLoop,
    const Endpoint& aStore) = 0;
  // Makes the client of the table with this system's own rows.
  [[nodiscard]] virtual std::unique_ptr<TableService> MakeTable(
    Loop& aLoop,
    const Endpoint& aStore) = 0;
  [[nodiscard]] virtual std::unique_ptr<SiteReader> MakeReader() = 0;
  [[nodiscard]] virtual std::unique_ptr<BackendPort> MakeBackend(
    Loop& aLoop) = 0;
  [[nodiscard]] virtual std::unique_ptr<CacheEventPort> MakeCacheEvents(
    Loop& aLoop) = 0;
  [[nodiscard]] virtual std::unique_ptr<OrderPort> MakeOrders(Loop& aLoop) = 0;
  // Makes the handler that translates callers' HTTP requests into
  // CallerRequest.
  [[nodiscard]] virtual std::unique_ptr<HttpHandler> MakeCallerHandler(
    RequestFlow& aFlow) = 0;
  // Returns the path of the balancer's readiness check.
  [[nodiscard]] virtual std::string ReadinessPath() const = 0;
};

} // namespace bilberrytrail
