#pragma once

#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/platform/json_fields.h>

#include <vector>

// JSON encoding of the store's messages, shared by the HTTP adapter and the
// store VM stand-in. The Read functions fail with Corrupt.
namespace bilberrytrail {

[[nodiscard]] Json
ToJson(const StoredBlock& aBlock);
[[nodiscard]] Result<StoredBlock>
ReadStoredBlock(const Json& aJson);

[[nodiscard]] Json
ToJson(const StoreInventory& aInventory);
[[nodiscard]] Result<StoreInventory>
ReadStoreInventory(const Json& aJson);

[[nodiscard]] Json
ToJson(const std::vector<BlockPin>& aPins);
[[nodiscard]] Result<std::vector<BlockPin>>
ReadBlockPins(const Json& aList);

} // namespace bilberrytrail
