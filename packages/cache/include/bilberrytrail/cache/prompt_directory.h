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

// Limits of a directory. 120,000 returning prompts over 400 daemons are 300 per
// daemon; the rest is headroom for an uneven distribution of homes and for
// failed daemons.
struct DirectoryLimits
{
  std::size_t mMaxPrompts = 4096;
  std::size_t mMaxBlocksPerPrompt = 256;
  std::size_t mMaxServersPerBlock = 8;
  std::size_t mMaxStoresPerBlock = 4;
  // Age at which a doubtful entry is dropped. An entry is doubtful when the
  // server's events had a gap after the entry was last confirmed.
  Duration mDoubtfulAge = 60s;
};

// Identifies a prompt in the directory.
struct PromptKey
{
  ProductId mProduct;
  AccountId mAccount;
  BlockId mRoot;

  bool operator==(const PromptKey&) const = default;
};

// Number of a prompt's leading blocks that a server holds in its cache.
struct ServerHolding
{
  ServerId mServer;
  std::uint32_t mBlocks = 0;
  // Events of the server were missed after one of these blocks was last
  // confirmed, so that it may have been evicted.
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

// Servers and stores that hold a prompt's blocks. mCopies has one entry per
// requested block.
struct PromptLocations
{
  std::vector<ServerHolding> mServers;
  std::vector<std::vector<StoreCopy>> mCopies;
};

// Tracks which servers and stores hold the blocks of prompts. Soft state: a
// stale, missing or wrong entry costs no more than a recompute. Memory is
// bounded; the least recently used prompts are evicted first.
//
//   directory.RecordUse(key, blocks.mBlocks);
//   directory.OnServerEvent(server, event, now);
//   const auto locations = directory.Find(key, blocks.mBlocks, now);
class PromptDirectory
{
public:
  explicit PromptDirectory(const DirectoryLimits& aLimits);
  ~PromptDirectory();
  PromptDirectory(const PromptDirectory&) = delete;
  PromptDirectory& operator=(const PromptDirectory&) = delete;

  [[nodiscard]] std::size_t Prompts() const noexcept;
  // Returns the approximate memory used by the entries, in bytes.
  [[nodiscard]] std::size_t StateBytes() const;
  // Returns the locations of the blocks; none when the prompt is not known or
  // belongs to another account or product.
  [[nodiscard]] PromptLocations Find(const PromptKey& aKey,
                                     std::span<const BlockId> aBlocks,
                                     Instant aNow) const;

  // Records that a request uses the prompt. Events about its blocks are stored
  // from then on; events about blocks of no recorded prompt are ignored.
  void RecordUse(const PromptKey& aKey, std::span<const BlockId> aBlocks);
  // Applies an event of a server's stream. A gap in the sequence numbers makes
  // the server's entries doubtful; a number that does not increase means that
  // the server restarted and drops them.
  void OnServerEvent(const ServerId& aServer,
                     const EngineEvent& aEvent,
                     Instant aNow);
  // Replaces a server's entries by its inventory as of a sequence number.
  void OnServerInventory(const ServerId& aServer,
                         std::uint64_t aSequence,
                         std::span<const BlockId> aBlocks,
                         Instant aNow);
  // Drops the entries of a server that has left.
  void OnServerGone(const ServerId& aServer);
  // Replaces a store's entries by its inventory.
  void OnStoreInventory(const StoreId& aStore,
                        const StoreInventory& aInventory);
  // Adds a block that was sealed in a store. A new incarnation drops the
  // store's other entries.
  void OnStoreSealed(const StoreId& aStore,
                     std::uint64_t aIncarnation,
                     const StoredBlock& aBlock);
  // Removes a block that was freed in a store or did not match when it was
  // read, unless the directory knows a later generation.
  void OnStoreFreed(const StoreId& aStore, const BlockRef& aRef);
  // Drops the entries of a store that has left.
  void OnStoreGone(const StoreId& aStore);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
