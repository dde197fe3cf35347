#include "store_runner.h"

#include <bilberrytrail/cache/prompt_blocks.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kCallTimeout = 1s;
constexpr Duration kExportTimeout = 10s;
// How often a store's inventory is read.
constexpr Duration kInventoryPeriod = 2s;
// How often a store looks for prompts to export.
constexpr Duration kExportPause = 10ms;
constexpr Duration kUpdatePeriod = 10ms;
// Longest wait of an export for an idle link.
constexpr Duration kLinkPatience = 2s;

} // namespace

StoreRunner::StoreRunner(ThreadContext& aThread,
                         ControlState& aState,
                         KeptCache& aCache)
  : mThread(aThread)
  , mState(aState)
  , mCache(aCache)
{
}

void
StoreRunner::Start()
{
  if (!mCache.IsEnabled()) {
    return;
  }
  mThread.GetLoop().Spawn([this] {
    while (mThread.GetLoop().Sleep(kUpdatePeriod)) {
      mCache.SendUpdates(mThread);
    }
  });
}

void
StoreRunner::OnView(const ControlView& aView)
{
  if (!mCache.IsEnabled()) {
    return;
  }
  for (const auto& [id, server] : aView.mServers) {
    const StoreId store(id.Text());
    if (server.mVm.mRole == VmRole::Store && server.mHome == aView.mSelf &&
        mFollowed.insert(store).second) {
      mThread.GetLoop().Spawn([this, store] { Follow(store); });
    }
  }
}

std::optional<StoreRunner::Pair>
StoreRunner::PairOf(const StoreId& aStore) const
{
  const auto view = mState.View();
  const auto store = view->mServers.find(ServerId(aStore.Text()));
  if (store == view->mServers.end() || store->second.mHome != view->mSelf) {
    return std::nullopt;
  }
  const auto engine = view->mServers.find(ServerId(store->second.mVm.mGroup));
  if (engine == view->mServers.end()) {
    return std::nullopt;
  }
  return Pair{ store->second.mVm, engine->second.mVm };
}

void
StoreRunner::Follow(const StoreId& aStore)
{
  const auto store = mCache.Stores().Find(aStore);
  Instant nextInventory{};
  while (const auto pair = PairOf(aStore)) {
    if (MonotonicNow() >= nextInventory) {
      ReadInventory(*pair, *store);
      nextInventory = MonotonicNow() + kInventoryPeriod;
    }
    while (const auto block = store->NextRelease()) {
      Release(*pair, *store, *block);
    }
    if (const auto job =
          mCache.Stores().NextExport(ServerId(pair->mEngine.mName))) {
      Export(*pair, *store, *job);
    } else if (!mThread.GetLoop().Sleep(kExportPause)) {
      return;
    }
  }
  mFollowed.erase(aStore);
}

void
StoreRunner::ReadInventory(const Pair& aPair, HomedStore& aStore)
{
  const auto inventory =
    mThread.StoreAt(aPair.mStore.mEndpoint).ReadInventory(kCallTimeout);
  if (!inventory) {
    return;
  }
  const auto before = aStore.Incarnation();
  const auto after = inventory.value().mIncarnation;
  const auto told = aStore.AnnouncedTo();
  const auto lost = aStore.OnInventory(inventory.value());
  if (before != 0 && before != after) {
    for (const auto& home : told) {
      mCache.NoteNewStore(home, aStore.Id(), after);
    }
    return;
  }
  for (const auto& block : lost) {
    mCache.NoteFreed({ aStore.Id(), after, block.mRef, block.mTier });
  }
}

void
StoreRunner::Export(const Pair& aPair,
                    HomedStore& aStore,
                    const ExportJob& aJob)
{
  aStore.RecordUse(aJob.mBlocks);
  const auto count = static_cast<std::uint32_t>(aJob.mBlocks.size());
  for (std::uint32_t n = 0; n < count; ++n) {
    if (!aStore.IsKept(aJob.mBlocks[n]) &&
        !ExportBlock(aPair, aStore, aJob, n)) {
      break;
    }
  }
  mCache.AnnounceKept(aStore, aJob.mKey, aJob.mBlocks);
}

bool
StoreRunner::ExportBlock(const Pair& aPair,
                         HomedStore& aStore,
                         const ExportJob& aJob,
                         std::uint32_t aIndex)
{
  const auto& settings = mCache.Settings();
  RetentionCandidate candidate;
  candidate.mBlock = aJob.mBlocks[aIndex];
  candidate.mBytes = mCache.BlockBytes();
  candidate.mDepth = aIndex;
  const double tokens =
    static_cast<double>(settings.mBlockBytes) / kBytesPerToken;
  candidate.mRecompute =
    FromMillis(tokens / std::max(aJob.mPrefillTokensPerSecond, 1.0) * 1000);
  candidate.mTransfer =
    FromMillis(static_cast<double>(candidate.mBytes) /
               static_cast<double>(settings.mLinkBytesPerSecond) * 1000);
  const auto decision = aStore.Offer(candidate);
  if (!decision || !decision->mAdmit) {
    return false;
  }
  for (const auto block : decision->mEvict) {
    Release(aPair, aStore, block);
  }
  const auto sealed = AwaitLink(aStore)
                        ? Transfer(aPair, aJob.mVersion, candidate.mBlock)
                        : std::nullopt;
  if (!sealed) {
    (void)aStore.OnGone(candidate.mBlock);
    return false;
  }
  aStore.OnSealed({ *sealed, decision->mTier });
  mCache.AnnounceKept(aStore, aJob.mKey, { &candidate.mBlock, 1 });
  return true;
}

bool
StoreRunner::AwaitLink(HomedStore& aStore)
{
  const auto end = MonotonicNow() + kLinkPatience;
  while (MonotonicNow() < end) {
    const auto place =
      aStore.ReserveExport(mCache.BlockBytes(), MonotonicNow());
    if (place) {
      // The bytes of exports count neither as used nor as unused imports.
      aStore.Settle(place->mNumber, std::nullopt);
      return mThread.GetLoop().Sleep(place->mBeginAfter);
    }
    if (!mThread.GetLoop().Sleep(kExportPause)) {
      return false;
    }
  }
  return false;
}

std::optional<BlockRef>
StoreRunner::Transfer(const Pair& aPair,
                      const VersionId& aVersion,
                      BlockId aBlock)
{
  BlockExport flow(aBlock, mCache.BlockBytes());
  auto actions = flow.Start();
  while (!actions.empty()) {
    actions = Perform(aPair, aVersion, flow, actions.front());
  }
  return flow.Sealed();
}

BlockActions
StoreRunner::Perform(const Pair& aPair,
                     const VersionId& aVersion,
                     BlockExport& aFlow,
                     const BlockAction& aAction)
{
  auto& store = mThread.StoreAt(aPair.mStore.mEndpoint);
  const BlockRef& ref = aAction.mRefs.front();
  switch (aAction.mKind) {
    case BlockActionKind::Reserve:
      return aFlow.OnReserved(
        store.Reserve(ref.mBlock, ref.mBytes, kCallTimeout));
    case BlockActionKind::OrderExport:
      return aFlow.OnExported(
        mThread.EngineAt(aPair.mEngine.mEndpoint)
          .ExportBlocks({ aPair.mStore.mEndpoint, aVersion, aAction.mRefs },
                        kExportTimeout));
    case BlockActionKind::Seal:
      return aFlow.OnSealed(store.Seal(ref, kCallTimeout));
    case BlockActionKind::Free:
      (void)store.Free(ref, kCallTimeout);
      return {};
    default:
      return {};
  }
}

void
StoreRunner::Release(const Pair& aPair, HomedStore& aStore, BlockId aBlock)
{
  const auto incarnation = aStore.Incarnation();
  const auto kept = aStore.OnGone(aBlock);
  if (!kept) {
    return;
  }
  BlockRelease flow(kept->mRef);
  auto actions = flow.Start();
  while (!actions.empty()) {
    BlockActions next;
    for (const auto& action : actions) {
      if (action.mKind == BlockActionKind::Withdraw) {
        mCache.NoteFreed({ aStore.Id(), incarnation, kept->mRef, kept->mTier });
      } else {
        next = flow.OnFreed(mThread.StoreAt(aPair.mStore.mEndpoint)
                              .Free(kept->mRef, kCallTimeout));
      }
    }
    actions = std::move(next);
  }
}

} // namespace bilberrytrail
