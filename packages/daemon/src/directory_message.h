#pragma once

#include <bilberrytrail/cache/prompt_directory.h>
#include <bilberrytrail/platform/json_fields.h>

#include <cstddef>
#include <vector>

namespace bilberrytrail {

// Most blocks that one message about the directory names.
constexpr std::size_t kMaxBlocksPerMessage = 256;

// Asks the home of a prompt where its blocks are.
struct DirectoryQuery
{
  PromptKey mKey;
  std::vector<BlockId> mBlocks;
};

// Blocks that a server has cached or evicted.
struct ServerChange
{
  ServerId mServer;
  std::vector<BlockId> mCached;
  std::vector<BlockId> mEvicted;
};

// Blocks that were sealed or freed in a store.
struct StoreChange
{
  StoreId mStore;
  std::uint64_t mIncarnation = 0;
  // The store came back empty: every entry of it is void.
  bool mIsNew = false;
  std::vector<StoredBlock> mSealed;
  std::vector<BlockRef> mFreed;
};

// Changes that one daemon tells the home of some prompts.
struct DirectoryUpdate
{
  std::vector<ServerChange> mServers;
  std::vector<StoreChange> mStores;
};

// Encode and decode; decoding fails with Corrupt and never throws.
[[nodiscard]] Json
ToJson(const StoreCopy& aCopy);
[[nodiscard]] Result<StoreCopy>
ReadStoreCopy(const Json& aJson);
[[nodiscard]] Json
ToJson(const DirectoryQuery& aQuery);
[[nodiscard]] Result<DirectoryQuery>
ReadDirectoryQuery(const Json& aJson);
[[nodiscard]] Json
ToJson(const PromptLocations& aLocations);
[[nodiscard]] Result<PromptLocations>
ReadPromptLocations(const Json& aJson);
[[nodiscard]] Json
ToJson(const DirectoryUpdate& aUpdate);
[[nodiscard]] Result<DirectoryUpdate>
ReadDirectoryUpdate(const Json& aJson);

} // namespace bilberrytrail
