#include "thread_context.h"

namespace bilberrytrail {

ThreadContext::ThreadContext(Loop& aLoop,
                             PeerSeal& aSeal,
                             const Endpoint& aTable)
  : mLoop(aLoop)
  , mClient(aLoop)
  , mPeers(mClient, aSeal)
  , mTable(MakeHttpTableService(mClient, aTable))
{
}

Engine&
ThreadContext::EngineAt(const Endpoint& aEndpoint)
{
  auto& engine = mEngines[aEndpoint];
  if (engine == nullptr) {
    engine = MakeHttpEngine(mClient, aEndpoint);
  }
  return *engine;
}

Store&
ThreadContext::StoreAt(const Endpoint& aEndpoint)
{
  auto& store = mStores[aEndpoint];
  if (store == nullptr) {
    store = MakeHttpStore(mClient, aEndpoint);
  }
  return *store;
}

PlainService&
ThreadContext::ServiceAt(const Endpoint& aEndpoint)
{
  auto& service = mServices[aEndpoint];
  if (service == nullptr) {
    service = MakeHttpPlainService(mClient, aEndpoint);
  }
  return *service;
}

} // namespace bilberrytrail
