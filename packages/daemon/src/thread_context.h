#pragma once

#include "adapter_factory.h"
#include "run_watch.h"

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <map>
#include <memory>

namespace bilberrytrail {

// What one thread needs to reach the outside: its loop, its connections and
// the adapters that use them. Used on that thread only.
class ThreadContext
{
public:
  ThreadContext(Loop& aLoop, PeerSeal& aSeal, const Endpoint& aTable);
  ThreadContext(Loop& aLoop, std::unique_ptr<AdapterFactory> aAdapters);

  [[nodiscard]] Loop& GetLoop() noexcept { return mLoop; }
  [[nodiscard]] HttpClient& Client() noexcept { return mClient; }
  [[nodiscard]] PeerChannel& Peers() noexcept { return *mPeers; }
  [[nodiscard]] TableService& Table() noexcept { return *mTable; }
  // Returns the table for claims of non-idempotent calls.
  [[nodiscard]] TableService& ClaimTable() noexcept
  {
    return mClaimTable == nullptr ? *mTable : *mClaimTable;
  }

  // Returns the runs that wait for backend servers.
  [[nodiscard]] RunWatch& Runs() noexcept { return mRuns; }

  // Returns the adapter for a backend server.
  [[nodiscard]] Engine& EngineAt(const Endpoint& aEndpoint);
  [[nodiscard]] Store& StoreAt(const Endpoint& aEndpoint);
  [[nodiscard]] PlainService& ServiceAt(const Endpoint& aEndpoint);

  void SetClaimTable(std::unique_ptr<TableService> aTable)
  {
    mClaimTable = std::move(aTable);
  }

private:
  Loop& mLoop;
  HttpClient mClient;
  RunWatch mRuns;
  std::unique_ptr<AdapterFactory> mAdapters;
  std::unique_ptr<PeerChannel> mPeers;
  std::unique_ptr<TableService> mTable;
  std::unique_ptr<TableService> mClaimTable;
  std::map<Endpoint, std::unique_ptr<Engine>> mEngines;
  std::map<Endpoint, std::unique_ptr<Store>> mStores;
  std::map<Endpoint, std::unique_ptr<PlainService>> mServices;
};

} // namespace bilberrytrail
