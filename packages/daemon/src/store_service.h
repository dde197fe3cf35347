#pragma once

#include "control_view.h"
#include "directory_service.h"

#include <bilberrytrail/cache/link_budget.h>
#include <bilberrytrail/cache/prefix_planner.h>
#include <bilberrytrail/cache/retention_policy.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace bilberrytrail {

// A prompt that a server has just served: its blocks can be exported.
struct ExportJob
{
  ServerId mServer;
  VersionId mVersion;
  PromptKey mKey;
  std::vector<BlockId> mBlocks;
  // Speed at which the server computes the blocks anew.
  double mPrefillTokensPerSecond = 0;
};

// A place on a store's link, as its home gives it.
struct LinkPlace
{
  std::uint64_t mNumber = 0;
  // Time until the transfer may begin, and until it ends at the link's rate.
  Duration mBeginAfter{};
  Duration mEndAfter{};
};

// What became of the bytes that were imported from one store.
struct ImportUse
{
  std::uint64_t mUsedBytes = 0;
  std::uint64_t mUnusedBytes = 0;
  // Share of the used ones; 1 when there are none.
  double mUsedShare = 1;
  // Time until the link is free.
  Duration mBacklog{};
};

[[nodiscard]] Json
ToJson(const LinkPlace& aPlace);
[[nodiscard]] Result<LinkPlace>
ReadLinkPlace(const Json& aJson);

// What the home of a store VM knows of it. Soft state: rebuilt from the
// store's inventory. Thread-safe.
class HomedStore
{
public:
  HomedStore(StoreId aId, const DaemonSettings& aSettings);

  [[nodiscard]] const StoreId& Id() const noexcept { return mId; }
  [[nodiscard]] StoreLink Link(Instant aNow) const;
  [[nodiscard]] ImportUse Use(Instant aNow) const;
  [[nodiscard]] bool IsKept(BlockId aBlock) const;
  [[nodiscard]] std::uint64_t Incarnation() const;

  // Takes a place for an import; nothing when the link's backlog is too long.
  [[nodiscard]] std::optional<LinkPlace> Reserve(std::uint64_t aBytes,
                                                 Instant aNow);
  // Takes a place for an export; nothing while imports wait for the link.
  [[nodiscard]] std::optional<LinkPlace> ReserveExport(std::uint64_t aBytes,
                                                       Instant aNow);
  // Settles an import: how many of its bytes a request used; nothing when it
  // did not take place.
  void Settle(std::uint64_t aNumber, std::optional<std::uint64_t> aUsed);

  // Counts a use of each block by a request.
  void RecordUse(std::span<const BlockId> aBlocks);
  // Decides about a block that could be exported. Nothing before the first
  // inventory.
  [[nodiscard]] std::optional<RetentionDecision> Offer(
    const RetentionCandidate& aCandidate);
  void OnSealed(const StoredBlock& aBlock);
  // The store does not hold the block, or will not. Returns its reference when
  // it was kept.
  std::optional<StoredBlock> OnGone(BlockId aBlock);
  // Takes what the store holds. Returns the blocks that it has lost.
  std::vector<StoredBlock> OnInventory(const StoreInventory& aInventory);

  // Asks for a block to be freed that did not match when it was read.
  void AskRelease(BlockId aBlock);
  // Returns the next such block.
  [[nodiscard]] std::optional<BlockId> NextRelease();

  // Notes that a prompt's home is told of a kept block; returns the block
  // when it was not told before.
  [[nodiscard]] std::optional<StoredBlock> Announce(BlockId aBlock,
                                                    const DaemonId& aHome);
  // Returns all homes that were told of a block.
  [[nodiscard]] std::set<DaemonId> AnnouncedTo() const;

private:
  struct Kept
  {
    StoredBlock mBlock;
    DaemonId mAnnouncedTo;
  };

  [[nodiscard]] RetentionCandidate CandidateOf(const BlockRef& aRef) const;

  const StoreId mId;
  const DaemonSettings& mSettings;
  mutable std::mutex mMutex;
  LinkBudget mLink;
  std::unique_ptr<RetentionPolicy> mPolicy;
  std::uint64_t mIncarnation = 0;
  std::unordered_map<BlockId, Kept> mKept;
  std::set<BlockId> mReleases;
};

using HomedStorePtr = std::shared_ptr<HomedStore>;

// The store VMs that this daemon is home to, and the prompts whose export
// waits. Thread-safe.
class StoreService
{
public:
  explicit StoreService(const DaemonSettings& aSettings);

  // Returns the store, which is made known when it was not.
  [[nodiscard]] HomedStorePtr Find(const StoreId& aStore);
  // Returns the stores that imports or exports were planned for here.
  [[nodiscard]] std::vector<HomedStorePtr> All() const;

  // Offers a served prompt for export; dropped when too many wait already.
  void OnServed(ExportJob aJob);
  // Returns the next prompt of a server to export.
  [[nodiscard]] std::optional<ExportJob> NextExport(const ServerId& aServer);

private:
  const DaemonSettings& mSettings;
  mutable std::mutex mMutex;
  std::map<StoreId, HomedStorePtr> mStores;
  std::map<ServerId, std::deque<ExportJob>> mExports;
};

} // namespace bilberrytrail
