#include "shard_runner.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_fields.h>

namespace bilberrytrail {

namespace {

constexpr Duration kLeaseTick = 100ms;
constexpr Duration kReconcilePeriod = 250ms;
constexpr Duration kTableTimeout = 1s;
constexpr Duration kPeerTimeout = 500ms;
constexpr Duration kOrderTimeout = 2s;

} // namespace

ShardRunner::ShardRunner(const DaemonId& aSelf,
                         ThreadContext& aThread,
                         ControlState& aState,
                         HomeService& aHomes,
                         std::uint32_t aShards,
                         const LeaseSettings& aSettings)
  : mThread(aThread)
  , mState(aState)
  , mHomes(aHomes)
{
  for (std::uint32_t n = 0; n < aShards; ++n) {
    mShards.push_back(
      { n, std::make_unique<Lease>(LeaseKey(n), aSelf, aSettings), {} });
  }
}

bool
ShardRunner::Holds(std::uint32_t aShard) const
{
  return mShards[aShard].mLease->EpochForOrder(MonotonicNow()).has_value();
}

Result<Json>
ShardRunner::StatesForPeer(const Json& aParams)
{
  JsonFields fields(aParams);
  const ProductId product(fields.Text("product"));
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  Json states = Json::object();
  for (const auto& server : mHomes.Servers()) {
    const auto state = server->State();
    if (server->Vm().mProduct == product && state) {
      states[server->Vm().mName] = ToJson(*state);
    }
  }
  return Json{ { "states", std::move(states) } };
}

void
ShardRunner::Start()
{
  for (auto& shard : mShards) {
    mThread.GetLoop().Spawn([this, &shard] { RunLease(shard); });
  }
  mThread.GetLoop().Spawn([this] { ReconcileAll(); });
}

void
ShardRunner::Release()
{
  mIsReleased = true;
}

std::uint32_t
ShardRunner::ShardOf(const ProductId& aProduct) const
{
  return static_cast<std::uint32_t>(StableHash64(aProduct.Text()) %
                                    mShards.size());
}

void
ShardRunner::RunLease(Shard& aShard)
{
  Lease& lease = *aShard.mLease;
  bool wasHolder = false;
  do {
    const auto view = mState.View();
    const bool isHome = HomeOf("shard/" + std::to_string(aShard.mNumber),
                               view->mHomes) == view->mSelf;
    lease.SetWanted(isHome && !mIsReleased);
    const auto action = lease.Tick(MonotonicNow());
    if (action) {
      if (const auto* read = std::get_if<LeaseRead>(&*action)) {
        const auto row = mThread.Table().Read(read->mKey, kTableTimeout);
        lease.OnRead(read->mSequence, row, MonotonicNow());
      } else {
        const auto& write = std::get<LeaseWrite>(*action);
        const auto outcome =
          mThread.Table().Commit({ write.mWrite }, kTableTimeout);
        lease.OnWrite(write.mSequence, outcome, MonotonicNow());
      }
    }
    const bool isHolder = lease.EpochForOrder(MonotonicNow()).has_value();
    if (isHolder != wasHolder) {
      wasHolder = isHolder;
      LogLine(isHolder ? LogEvent::LeaseTaken : LogEvent::LeaseLost,
              { { "shard", aShard.mNumber } });
    }
  } while (mThread.GetLoop().Sleep(kLeaseTick));
}

void
ShardRunner::ReconcileAll()
{
  do {
    const auto view = mState.View();
    for (const auto& [id, product] : view->mProducts) {
      Shard& shard = mShards[ShardOf(id)];
      if (shard.mLease->EpochForOrder(MonotonicNow())) {
        Reconcile(shard, product);
      }
    }
  } while (mThread.GetLoop().Sleep(kReconcilePeriod));
}

void
ShardRunner::Reconcile(Shard& aShard, const ProductState& aProduct)
{
  auto states = CollectStates(aProduct.mProduct);
  const auto now = MonotonicNow();
  const auto epoch = aShard.mLease->EpochForOrder(now);
  if (!epoch) {
    return;
  }
  auto [it, isNew] =
    aShard.mReconcilers.try_emplace(aProduct.mProduct, ReconcileSettings());
  for (const auto& order :
       it->second.Decide(aProduct, states, {}, *epoch, now)) {
    mThread.GetLoop().Spawn([this, &aShard, order] { Send(aShard, order); });
  }
}

std::vector<ServerView>
ShardRunner::CollectStates(const ProductId& aProduct)
{
  const auto view = mState.View();
  std::map<DaemonId, Json> byHome;
  std::vector<ServerView> servers;
  for (const auto& [id, backend] : view->mServers) {
    if (backend.mVm.mProduct != aProduct ||
        backend.mVm.mRole != VmRole::Engine) {
      continue;
    }
    ServerView server;
    server.mId = id;
    server.mUsable = !backend.mVm.mLeaving;
    const auto* peer = view->FindMember(backend.mHome);
    if (backend.mHome == view->mSelf || peer == nullptr) {
      const auto homed = mHomes.Find(id);
      server.mState = homed == nullptr ? std::nullopt : homed->State();
    } else {
      auto it = byHome.find(backend.mHome);
      if (it == byHome.end()) {
        auto reply = mThread.Peers().Call(*peer,
                                          "home.states",
                                          { { "product", aProduct.Text() } },
                                          kPeerTimeout);
        it = byHome
               .emplace(backend.mHome,
                        reply ? std::move(reply).value() : Json::object())
               .first;
      }
      const Json states = it->second.value("states", Json::object());
      if (states.contains(id.Text())) {
        auto state = ReadEngineState(states[id.Text()]);
        if (state) {
          server.mState = std::move(state).value();
        }
      }
    }
    servers.push_back(std::move(server));
  }
  return servers;
}

void
ShardRunner::Send(Shard& aShard, const ServerOrder& aOrder)
{
  const auto view = mState.View();
  const auto it = view->mServers.find(aOrder.mServer);
  // Checked again right before the order goes out.
  const auto epoch = aShard.mLease->EpochForOrder(MonotonicNow());
  if (it == view->mServers.end() || epoch != aOrder.mOrder.mFencing) {
    return;
  }
  LogLine(LogEvent::OrderSent,
          { { "server", aOrder.mServer },
            { "order", aOrder.mOrder.mKind },
            { "model", aOrder.mOrder.mModel },
            { "version", aOrder.mOrder.mVersion },
            { "fencing", aOrder.mOrder.mFencing } });
  const auto result = mThread.EngineAt(it->second.mVm.mEndpoint)
                        .SendOrder(aOrder.mOrder, kOrderTimeout);
  if (!result) {
    LogLine(LogEvent::OrderRefused,
            { { "server", aOrder.mServer },
              { "fate", result.error().mFate },
              { "reason", result.error().mError.mMessage } });
  }
}

} // namespace bilberrytrail
