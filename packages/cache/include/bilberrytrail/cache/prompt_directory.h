#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace bilberrytrail {

// Bounds of a directory. 120,000 returning prompts over 400 daemons are 300 a
// daemon; the rest is room for uneven homes and for daemons that are gone.
struct DirectoryLimits
{
  std::size_t mMaxPrompts = 4096;
  std::size_t mMaxBlocksPerPrompt = 256;
  std::size_t mMaxServersPerBlock = 8;
  std::size_t mMaxStoresPerBlock = 4;
  // Time after which an entry is dropped that a gap in the server's events
  // has made doubtful and that was not confirmed since.
  Duration mDoubtfulAge = 60s;
};

// Names a prompt in the directory.
struct PromptKey
{
  ProductId mProduct;
  AccountId mAccount;
  BlockId mRoot;

  bool operator==(const PromptKey&) const = default;
};

// How much of a prompt a server holds in its cache.
struct ServerHolding
{
  ServerId mServer;
  // Blocks from the start of the prompt that are resident.
  std::uint32_t mBlocks = 0;
  // An event of the server was missed since one of them was seen.
  bool mIsDoubtful = false;
};

// A sealed copy of a block in a store.
struct StoreCopy
{
  StoreId mStore;
  std::uint64_t mIncarnation = 0;
  BlockRef mRef;
  StoreTier mTier = StoreTier::Memory;
};

// Where a prompt's blocks are. mCopies has one entry for each block asked for.
struct PromptLocations
{
  std::vector<ServerHolding> mServers;
  std::vector<std::vector<StoreCopy>> mCopies;
};

// Knows which servers and stores hold the blocks of prompts. Soft state: late,
// incomplete or wrong entries cost a recompute only. Memory is bounded; the
// least recently used prompts are forgotten first.
//
//   directory.RecordUse(key, blocks.mBlocks, now);
//   directory.OnServerEvent(server, event, now);
//   const auto where = directory.Find(key, blocks.mBlocks, now);
class PromptDirectory
{
public:
  explicit PromptDirectory(const DirectoryLimits& aLimits);
  ~PromptDirectory();
  PromptDirectory(const PromptDirectory&) = delete;
  PromptDirectory& operator=(const PromptDirectory&) = delete;

  [[nodiscard]] std::size_t Prompts() const noexcept;
  // Returns about how much memory the entries take, in bytes.
  [[nodiscard]] std::size_t StateBytes() const;
  // Returns where the blocks are; nothing for a prompt that is not known or
  // belongs to another account.
  [[nodiscard]] PromptLocations Find(const PromptKey& aKey,
                                     std::span<const BlockId> aBlocks,
                                     Instant aNow) const;

  // A request uses the prompt: events of its blocks are kept from now on.
  void RecordUse(const PromptKey& aKey, std::span<const BlockId> aBlocks);
  // Takes an event of a server's stream. A jump in the sequence makes the
  // server's entries doubtful; a smaller number means a restart and drops
  // them.
  void OnServerEvent(const ServerId& aServer,
                     const EngineEvent& aEvent,
                     Instant aNow);
  // Takes all that a server holds at a sequence number; replaces its entries.
  void OnServerInventory(const ServerId& aServer,
                         std::uint64_t aSequence,
                         std::span<const BlockId> aBlocks,
                         Instant aNow);
  // The server has gone: drops its entries.
  void OnServerGone(const ServerId& aServer);
  // Takes all that a store holds; replaces its entries.
  void OnStoreInventory(const StoreId& aStore,
                        const StoreInventory& aInventory);
  // A block was sealed in a store. A new incarnation drops the store's entries.
  void OnStoreSealed(const StoreId& aStore,
                     std::uint64_t aIncarnation,
                     const StoredBlock& aBlock);
  // A block was freed in a store, or did not match when it was read.
  void OnStoreFreed(const StoreId& aStore, const BlockRef& aRef);
  // The store has gone: drops its entries.
  void OnStoreGone(const StoreId& aStore);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
