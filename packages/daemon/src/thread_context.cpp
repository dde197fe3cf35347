#include "thread_context.h"

namespace bilberrytrail {

ThreadContext::ThreadContext(Loop& aLoop,
                             PeerSeal& aSeal,
                             const Endpoint& aTable)
  : ThreadContext(aLoop, MakeHttpAdapterFactory(aSeal, aTable))
{
}

ThreadContext::ThreadContext(Loop& aLoop,
                             std::unique_ptr<AdapterFactory> aAdapters)
  : mLoop(aLoop)
  , mClient(aLoop)
  , mAdapters(std::move(aAdapters))
  , mPeers(mAdapters->MakePeers(mClient))
  , mTable(mAdapters->MakeTable(mClient))
{
}

Engine&
ThreadContext::EngineAt(const Endpoint& aEndpoint)
{
  auto& engine = mEngines[aEndpoint];
  if (engine == nullptr) {
    engine = mAdapters->MakeEngine(mClient, aEndpoint);
  }
  return *engine;
}

Store&
ThreadContext::StoreAt(const Endpoint& aEndpoint)
{
  auto& store = mStores[aEndpoint];
  if (store == nullptr) {
    store = mAdapters->MakeStore(mClient, aEndpoint);
  }
  return *store;
}

PlainService&
ThreadContext::ServiceAt(const Endpoint& aEndpoint)
{
  auto& service = mServices[aEndpoint];
  if (service == nullptr) {
    service = mAdapters->MakeService(mClient, aEndpoint);
  }
  return *service;
}

} // namespace bilberrytrail
