#include "shard_runner.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kLeaseTick = 100ms;
constexpr Duration kReconcilePeriod = 250ms;
constexpr Duration kTableTimeout = 1s;
constexpr Duration kPeerTimeout = 500ms;
// How often a home looks for states to push.
constexpr Duration kPushPeriod = 100ms;
constexpr StatePushSettings kPushSettings;
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
  , mPushes(kPushSettings)
  , mHeld(kPushSettings)
{
  for (std::uint32_t n = 0; n < aShards; ++n) {
    mShards.push_back(
      { n, std::make_unique<Lease>(LeaseKey(n), aSelf, aSettings), {}, {} });
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
  // Numbered first: a message that counts more never has older states.
  const auto number = ++mLastMessage;
  auto states = HomedStates();
  std::erase_if(states, [&](const HomedState& aState) {
    return aState.mProduct != product;
  });
  return MakeMessage(number, states);
}

Result<Json>
ShardRunner::TakeStates(const Json& aParams)
{
  if (auto ok = TakeMessage(aParams); !ok) {
    return std::move(ok).error();
  }
  return Json::object();
}

Json
ShardRunner::MakeMessage(std::uint64_t aNumber,
                         const std::vector<HomedState>& aStates)
{
  Json states = Json::object();
  for (const auto& it : aStates) {
    states[it.mServer.Text()] = ToJson(it.mState);
  }
  return { { "home", mState.View()->mSelf.Text() },
           { "message", aNumber },
           { "states", std::move(states) } };
}

Result<void>
ShardRunner::TakeMessage(const Json& aMessage)
{
  JsonFields fields(aMessage);
  const DaemonId home(fields.Text("home"));
  const auto message = fields.Unsigned("message");
  const auto& states = fields.Object("states");
  if (auto ok = fields.Check(); !ok) {
    return ok;
  }
  const auto now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  for (const auto& [id, json] : states.items()) {
    auto state = ReadEngineState(json);
    if (!state) {
      return std::move(state).error();
    }
    mHeld.Update(home, message, ServerId(id), std::move(state).value(), now);
  }
  return Ok();
}

std::vector<HomedState>
ShardRunner::HomedStates() const
{
  const auto view = mState.View();
  const auto now = MonotonicNow();
  std::vector<HomedState> states;
  for (const auto& server : mHomes.Servers()) {
    const auto& vm = server->Vm();
    const auto it = view->mServers.find(ServerId(vm.mName));
    const auto age = server->ReportAge(now);
    auto state = server->State();
    if (it == view->mServers.end() || it->second.mHome != view->mSelf ||
        vm.mRole != VmRole::Engine || !state || !age ||
        *age > kPushSettings.mStateTtl) {
      continue;
    }
    const auto shard = "shard/" + std::to_string(ShardOf(vm.mProduct));
    states.push_back(
      { it->first, vm.mProduct, HomeOf(shard, view->mHomes), *state });
  }
  return states;
}

void
ShardRunner::PushAll()
{
  do {
    const auto number = ++mLastMessage;
    for (const auto& batch : mPushes.Poll(HomedStates(), MonotonicNow())) {
      mThread.GetLoop().Spawn([this, batch, number] { Push(number, batch); });
    }
  } while (mThread.GetLoop().Sleep(kPushPeriod));
}

void
ShardRunner::Push(std::uint64_t aNumber, const StateBatch& aBatch)
{
  const auto view = mState.View();
  if (aBatch.mHolder == view->mSelf) {
    return;
  }
  const auto* peer = view->FindMember(aBatch.mHolder);
  const auto message = MakeMessage(aNumber, aBatch.mStates);
  if (peer == nullptr ||
      !mThread.Peers().Call(*peer, "shard.states", message, kPeerTimeout)) {
    mPushes.OnLost(aBatch);
  }
}

void
ShardRunner::Start()
{
  for (auto& shard : mShards) {
    mThread.GetLoop().Spawn([this, &shard] { RunLease(shard); });
  }
  mThread.GetLoop().Spawn([this] { ReconcileAll(); });
  mThread.GetLoop().Spawn([this] { PushAll(); });
}

void
ShardRunner::Release()
{
  mIsReleased = true;
}

bool
ShardRunner::IsReleasing() const
{
  return std::any_of(mShards.begin(), mShards.end(), [](const Shard& aShard) {
    return aShard.mLease->IsRelinquishing();
  });
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
      aShard.mAsked.clear();
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
      if (!shard.mLease->EpochForOrder(MonotonicNow())) {
        continue;
      }
      if (shard.mAsked.insert(id).second) {
        AskHomes(id);
      }
      Reconcile(shard, product);
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
    const bool wasIdle =
      std::any_of(states.begin(), states.end(), [&](const ServerView& aServer) {
        return aServer.mId == order.mServer && aServer.mState &&
               aServer.mState->mRunning == 0;
      });
    mThread.GetLoop().Spawn(
      [this, &aShard, order, wasIdle] { Send(aShard, order, wasIdle); });
  }
}

std::vector<ServerView>
ShardRunner::CollectStates(const ProductId& aProduct)
{
  const auto view = mState.View();
  const auto now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  mHeld.RemoveExpired(now);
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
      server.mState = mHeld.Find(id, now);
    }
    servers.push_back(std::move(server));
  }
  return servers;
}

void
ShardRunner::AskHomes(const ProductId& aProduct)
{
  const auto view = mState.View();
  std::set<DaemonId> homes;
  for (const auto& [id, backend] : view->mServers) {
    if (backend.mVm.mProduct == aProduct &&
        backend.mVm.mRole == VmRole::Engine && backend.mHome != view->mSelf) {
      homes.insert(backend.mHome);
    }
  }
  for (const auto& home : homes) {
    const auto* peer = view->FindMember(home);
    if (peer == nullptr) {
      continue;
    }
    // What a home does not answer comes with its pushes.
    const auto reply = mThread.Peers().Call(
      *peer, "home.states", { { "product", aProduct.Text() } }, kPeerTimeout);
    if (reply) {
      (void)TakeMessage(reply.value());
    }
  }
}

bool
ShardRunner::IsIdle(const Endpoint& aEngine)
{
  const auto state = mThread.EngineAt(aEngine).ReadState(kOrderTimeout);
  return state && state.value().mRunning == 0;
}

void
ShardRunner::Send(Shard& aShard, const ServerOrder& aOrder, bool aWasIdle)
{
  const auto view = mState.View();
  const auto it = view->mServers.find(aOrder.mServer);
  // The state that the order was decided by may be old.
  if (it != view->mServers.end() && aWasIdle &&
      aOrder.mOrder.mKind == OrderKind::UnloadVersion &&
      !IsIdle(it->second.mVm.mEndpoint)) {
    return;
  }
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
