#pragma once

#include "control_state.h"
#include "kept_cache.h"

#include <bilberrytrail/cache/block_lifecycle.h>

namespace bilberrytrail {

// Works for the store VMs that this daemon is home to, on the control thread:
// reads inventories, exports served prompts and frees blocks, one at a time
// for each store, and sends the directory's updates.
class StoreRunner
{
public:
  StoreRunner(ThreadContext& aThread, ControlState& aState, KeptCache& aCache);

  // Starts the fiber that sends updates.
  void Start();
  // Starts a fiber for each store that is homed here and has none.
  void OnView(const ControlView& aView);

private:
  // A store with the engine that it belongs to, as listed now.
  struct Pair
  {
    VmEntry mStore;
    VmEntry mEngine;
  };

  [[nodiscard]] std::optional<Pair> PairOf(const StoreId& aStore) const;
  void Follow(const StoreId& aStore);
  void ReadInventory(const Pair& aPair, HomedStore& aStore);
  // Exports what is worth keeping of a prompt, from its first block on.
  void Export(const Pair& aPair, HomedStore& aStore, const ExportJob& aJob);
  // Returns false when the prompt's further blocks are of no use.
  [[nodiscard]] bool ExportBlock(const Pair& aPair,
                                 HomedStore& aStore,
                                 const ExportJob& aJob,
                                 std::uint32_t aIndex);
  [[nodiscard]] std::optional<BlockRef> Transfer(const Pair& aPair,
                                                 const VersionId& aVersion,
                                                 BlockId aBlock);
  [[nodiscard]] BlockActions Perform(const Pair& aPair,
                                     const VersionId& aVersion,
                                     BlockExport& aFlow,
                                     const BlockAction& aAction);
  void Release(const Pair& aPair, HomedStore& aStore, BlockId aBlock);
  // Waits for a place on the store's link; false when there is none in time.
  [[nodiscard]] bool AwaitLink(HomedStore& aStore);

  ThreadContext& mThread;
  ControlState& mState;
  KeptCache& mCache;
  std::set<StoreId> mFollowed;
};

} // namespace bilberrytrail
