#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/backend/store_json.h>

#include <limits>

namespace bilberrytrail {

namespace {

Result<StoredBlock>
ReadStoredBlock(const Json& aJson)
{
  JsonFields fields(aJson);
  const auto tier = FromName<StoreTier>(fields.Text("tier"));
  const auto ref = ReadBlockRef(fields.Object("ref"));
  if (!tier) {
    fields.Reject("tier");
  }
  if (!ref) {
    fields.Reject("ref");
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return StoredBlock{ ref.value(), *tier };
}

Result<BlockPin>
ReadBlockPin(const Json& aJson)
{
  constexpr auto kMost =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  JsonFields fields(aJson);
  BlockPin pin;
  pin.mPin = fields.Text("pin");
  const auto ref = ReadBlockRef(fields.Object("ref"));
  const auto remaining = fields.Unsigned("remaining_us");
  if (!ref) {
    fields.Reject("ref");
  }
  if (remaining > kMost) {
    fields.Reject("remaining_us");
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  pin.mRef = ref.value();
  pin.mRemaining = Duration(static_cast<std::int64_t>(remaining));
  return pin;
}

} // namespace

Json
ToJson(const StoreInventory& aInventory)
{
  auto blocks = Json::array();
  for (const auto& block : aInventory.mBlocks) {
    blocks.push_back(
      { { "ref", ToJson(block.mRef) }, { "tier", ToName(block.mTier) } });
  }
  return { { "incarnation", aInventory.mIncarnation },
           { "memory_bytes", aInventory.mMemoryBytes },
           { "memory_free_bytes", aInventory.mMemoryFreeBytes },
           { "disk_bytes", aInventory.mDiskBytes },
           { "disk_free_bytes", aInventory.mDiskFreeBytes },
           { "blocks", std::move(blocks) } };
}

Result<StoreInventory>
ReadStoreInventory(const Json& aJson)
{
  JsonFields fields(aJson);
  StoreInventory inventory;
  inventory.mIncarnation = fields.Unsigned("incarnation");
  inventory.mMemoryBytes = fields.Unsigned("memory_bytes");
  inventory.mMemoryFreeBytes = fields.Unsigned("memory_free_bytes");
  inventory.mDiskBytes = fields.Unsigned("disk_bytes");
  inventory.mDiskFreeBytes = fields.Unsigned("disk_free_bytes");
  for (const auto& it : fields.List("blocks")) {
    const auto block = ReadStoredBlock(it);
    if (!block) {
      return block.error();
    }
    inventory.mBlocks.push_back(block.value());
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return inventory;
}

Json
ToJson(const std::vector<BlockPin>& aPins)
{
  auto list = Json::array();
  for (const auto& pin : aPins) {
    list.push_back({ { "pin", pin.mPin },
                     { "ref", ToJson(pin.mRef) },
                     { "remaining_us",
                       static_cast<std::uint64_t>(pin.mRemaining.count()) } });
  }
  return list;
}

Result<std::vector<BlockPin>>
ReadBlockPins(const Json& aList)
{
  std::vector<BlockPin> pins;
  for (const auto& it : aList) {
    auto pin = ReadBlockPin(it);
    if (!pin) {
      return std::move(pin).error();
    }
    pins.push_back(std::move(pin).value());
  }
  return pins;
}

} // namespace bilberrytrail
