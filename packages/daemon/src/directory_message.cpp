#include "directory_message.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/backend/store_json.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

Json
BlocksToJson(const std::vector<BlockId>& aBlocks)
{
  return ToJsonList(aBlocks, [](BlockId aBlock) { return aBlock.Value(); });
}

std::vector<BlockId>
ReadBlocks(JsonFields& aFields, std::string_view aName)
{
  std::vector<BlockId> blocks;
  const Json& list = aFields.List(aName);
  if (list.size() > kMaxBlocksPerMessage) {
    aFields.Reject(aName);
    return blocks;
  }
  for (const auto& it : list) {
    if (!it.is_number_unsigned()) {
      aFields.Reject(aName);
      break;
    }
    blocks.emplace_back(it.get<std::uint64_t>());
  }
  return blocks;
}

Json
ServerChangeToJson(const ServerChange& aChange)
{
  return { { "server", aChange.mServer.Text() },
           { "cached", BlocksToJson(aChange.mCached) },
           { "evicted", BlocksToJson(aChange.mEvicted) } };
}

Result<ServerChange>
ReadServerChange(const Json& aJson)
{
  JsonFields fields(aJson);
  ServerChange change;
  change.mServer = ServerId(fields.Text("server"));
  change.mCached = ReadBlocks(fields, "cached");
  change.mEvicted = ReadBlocks(fields, "evicted");
  return Checked(fields, std::move(change));
}

Json
StoreChangeToJson(const StoreChange& aChange)
{
  return { { "store", aChange.mStore.Text() },
           { "incarnation", aChange.mIncarnation },
           { "new", aChange.mIsNew },
           { "sealed", ToJsonList(aChange.mSealed) },
           { "freed", ToJson(aChange.mFreed) } };
}

Result<StoreChange>
ReadStoreChange(const Json& aJson)
{
  JsonFields fields(aJson);
  StoreChange change;
  change.mStore = StoreId(fields.Text("store"));
  change.mIncarnation = fields.Unsigned("incarnation");
  change.mIsNew = fields.Flag("new");
  change.mSealed = ReadListField(fields, "sealed", ReadStoredBlock);
  change.mFreed = ReadListField(fields, "freed", ReadBlockRef);
  return Checked(fields, std::move(change));
}

Json
HoldingToJson(const ServerHolding& aHolding)
{
  return { { "server", aHolding.mServer.Text() },
           { "blocks", aHolding.mBlocks },
           { "doubtful", aHolding.mIsDoubtful } };
}

Result<ServerHolding>
ReadHolding(const Json& aJson)
{
  JsonFields fields(aJson);
  ServerHolding holding;
  holding.mServer = ServerId(fields.Text("server"));
  holding.mBlocks = fields.Unsigned32("blocks");
  holding.mIsDoubtful = fields.Flag("doubtful");
  return Checked(fields, std::move(holding));
}

} // namespace

Json
ToJson(const StoreCopy& aCopy)
{
  return { { "store", aCopy.mStore.Text() },
           { "incarnation", aCopy.mIncarnation },
           { "tier", ToName(aCopy.mTier) },
           { "ref", ToJson(aCopy.mRef) } };
}

Result<StoreCopy>
ReadStoreCopy(const Json& aJson)
{
  JsonFields fields(aJson);
  StoreCopy copy;
  copy.mStore = StoreId(fields.Text("store"));
  copy.mIncarnation = fields.Unsigned("incarnation");
  copy.mTier = ReadEnumField<StoreTier>(fields, "tier");
  copy.mRef = ReadObjectField(fields, "ref", ReadBlockRef);
  return Checked(fields, std::move(copy));
}

Json
ToJson(const DirectoryQuery& aQuery)
{
  return { { "product", aQuery.mKey.mProduct.Text() },
           { "account", aQuery.mKey.mAccount.Text() },
           { "root", aQuery.mKey.mRoot.Value() },
           { "blocks", BlocksToJson(aQuery.mBlocks) } };
}

Result<DirectoryQuery>
ReadDirectoryQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  DirectoryQuery query;
  query.mKey.mProduct = ProductId(fields.Text("product"));
  query.mKey.mAccount = AccountId(fields.Text("account"));
  query.mKey.mRoot = BlockId(fields.Unsigned("root"));
  query.mBlocks = ReadBlocks(fields, "blocks");
  return Checked(fields, std::move(query));
}

Json
ToJson(const PromptLocations& aLocations)
{
  const auto copies = [](const std::vector<StoreCopy>& aCopies) {
    return ToJsonList(aCopies);
  };
  return { { "servers", ToJsonList(aLocations.mServers, HoldingToJson) },
           { "copies", ToJsonList(aLocations.mCopies, copies) } };
}

Result<PromptLocations>
ReadPromptLocations(const Json& aJson)
{
  JsonFields fields(aJson);
  PromptLocations locations;
  locations.mServers = ReadListField(fields, "servers", ReadHolding);
  locations.mCopies = ReadListField(fields, "copies", [](const Json& aList) {
    return ReadEach(aList, ReadStoreCopy);
  });
  return Checked(fields, std::move(locations));
}

Json
ToJson(const DirectoryUpdate& aUpdate)
{
  return { { "servers", ToJsonList(aUpdate.mServers, ServerChangeToJson) },
           { "stores", ToJsonList(aUpdate.mStores, StoreChangeToJson) } };
}

Result<DirectoryUpdate>
ReadDirectoryUpdate(const Json& aJson)
{
  JsonFields fields(aJson);
  DirectoryUpdate update;
  update.mServers = ReadListField(fields, "servers", ReadServerChange);
  update.mStores = ReadListField(fields, "stores", ReadStoreChange);
  return Checked(fields, std::move(update));
}

} // namespace bilberrytrail
