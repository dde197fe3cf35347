#include "directory_message.h"

#include <bilberrytrail/backend/engine_json.h>

namespace bilberrytrail {

namespace {

Json
BlocksToJson(const std::vector<BlockId>& aBlocks)
{
  Json list = Json::array();
  for (const auto block : aBlocks) {
    list.push_back(block.Value());
  }
  return list;
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
ToJson(const ServerChange& aChange)
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
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return change;
}

Json
ToJson(const StoredBlock& aBlock)
{
  return { { "tier", ToName(aBlock.mTier) }, { "ref", ToJson(aBlock.mRef) } };
}

Result<StoredBlock>
ReadStoredBlock(const Json& aJson)
{
  JsonFields fields(aJson);
  const auto tier = FromName<StoreTier>(fields.Text("tier"));
  auto ref = ReadBlockRef(fields.Object("ref"));
  if (!tier) {
    fields.Reject("tier");
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  if (!ref) {
    return std::move(ref).error();
  }
  return StoredBlock{ ref.value(), *tier };
}

Json
ToJson(const StoreChange& aChange)
{
  Json json = { { "store", aChange.mStore.Text() },
                { "incarnation", aChange.mIncarnation },
                { "new", aChange.mIsNew },
                { "sealed", Json::array() },
                { "freed", ToJson(aChange.mFreed) } };
  for (const auto& it : aChange.mSealed) {
    json["sealed"].push_back(ToJson(it));
  }
  return json;
}

Result<StoreChange>
ReadStoreChange(const Json& aJson)
{
  JsonFields fields(aJson);
  StoreChange change;
  change.mStore = StoreId(fields.Text("store"));
  change.mIncarnation = fields.Unsigned("incarnation");
  change.mIsNew = fields.Flag("new");
  for (const auto& it : fields.List("sealed")) {
    auto block = ReadStoredBlock(it);
    if (!block) {
      return std::move(block).error();
    }
    change.mSealed.push_back(block.value());
  }
  auto freed = ReadBlockRefs(fields.List("freed"));
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  if (!freed) {
    return std::move(freed).error();
  }
  change.mFreed = std::move(freed).value();
  return change;
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
  auto block = ReadStoredBlock(aJson);
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  if (!block) {
    return std::move(block).error();
  }
  copy.mTier = block.value().mTier;
  copy.mRef = block.value().mRef;
  return copy;
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
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return query;
}

Json
ToJson(const PromptLocations& aLocations)
{
  Json json = { { "servers", Json::array() }, { "copies", Json::array() } };
  for (const auto& it : aLocations.mServers) {
    json["servers"].push_back({ { "server", it.mServer.Text() },
                                { "blocks", it.mBlocks },
                                { "doubtful", it.mIsDoubtful } });
  }
  for (const auto& copies : aLocations.mCopies) {
    Json list = Json::array();
    for (const auto& copy : copies) {
      list.push_back(ToJson(copy));
    }
    json["copies"].push_back(std::move(list));
  }
  return json;
}

Result<PromptLocations>
ReadPromptLocations(const Json& aJson)
{
  JsonFields outer(aJson);
  PromptLocations locations;
  for (const auto& it : outer.List("servers")) {
    JsonFields fields(it);
    ServerHolding holding;
    holding.mServer = ServerId(fields.Text("server"));
    holding.mBlocks = fields.Unsigned32("blocks");
    holding.mIsDoubtful = fields.Flag("doubtful");
    if (auto ok = fields.Check(); !ok) {
      return std::move(ok).error();
    }
    locations.mServers.push_back(std::move(holding));
  }
  for (const auto& list : outer.List("copies")) {
    auto& copies = locations.mCopies.emplace_back();
    for (const auto& it : list) {
      auto copy = ReadStoreCopy(it);
      if (!copy) {
        return std::move(copy).error();
      }
      copies.push_back(std::move(copy).value());
    }
  }
  if (auto ok = outer.Check(); !ok) {
    return std::move(ok).error();
  }
  return locations;
}

Json
ToJson(const DirectoryUpdate& aUpdate)
{
  Json json = { { "servers", Json::array() }, { "stores", Json::array() } };
  for (const auto& it : aUpdate.mServers) {
    json["servers"].push_back(ToJson(it));
  }
  for (const auto& it : aUpdate.mStores) {
    json["stores"].push_back(ToJson(it));
  }
  return json;
}

Result<DirectoryUpdate>
ReadDirectoryUpdate(const Json& aJson)
{
  JsonFields fields(aJson);
  DirectoryUpdate update;
  for (const auto& it : fields.List("servers")) {
    auto change = ReadServerChange(it);
    if (!change) {
      return std::move(change).error();
    }
    update.mServers.push_back(std::move(change).value());
  }
  for (const auto& it : fields.List("stores")) {
    auto change = ReadStoreChange(it);
    if (!change) {
      return std::move(change).error();
    }
    update.mStores.push_back(std::move(change).value());
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return update;
}

} // namespace bilberrytrail
