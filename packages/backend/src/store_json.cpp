#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/backend/store_json.h>
#include <bilberrytrail/platform/json_read.h>

#include <limits>

namespace bilberrytrail {

namespace {

Result<BlockPin>
ReadBlockPin(const Json& aJson)
{
  constexpr auto kMost =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  JsonFields fields(aJson);
  BlockPin pin;
  pin.mPin = fields.Text("pin");
  pin.mRef = ReadObjectField(fields, "ref", ReadBlockRef);
  const auto remaining = fields.Unsigned("remaining_us");
  if (remaining > kMost) {
    fields.Reject("remaining_us");
  }
  pin.mRemaining = Duration(static_cast<std::int64_t>(remaining));
  return Checked(fields, std::move(pin));
}

} // namespace

Json
ToJson(const StoredBlock& aBlock)
{
  return { { "ref", ToJson(aBlock.mRef) }, { "tier", ToName(aBlock.mTier) } };
}

Result<StoredBlock>
ReadStoredBlock(const Json& aJson)
{
  JsonFields fields(aJson);
  StoredBlock block;
  block.mTier = ReadEnumField<StoreTier>(fields, "tier");
  block.mRef = ReadObjectField(fields, "ref", ReadBlockRef);
  return Checked(fields, block);
}

Json
ToJson(const StoreInventory& aInventory)
{
  return { { "incarnation", aInventory.mIncarnation },
           { "memory_bytes", aInventory.mMemoryBytes },
           { "memory_free_bytes", aInventory.mMemoryFreeBytes },
           { "disk_bytes", aInventory.mDiskBytes },
           { "disk_free_bytes", aInventory.mDiskFreeBytes },
           { "blocks", ToJsonList(aInventory.mBlocks) } };
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
  inventory.mBlocks = ReadListField(fields, "blocks", ReadStoredBlock);
  return Checked(fields, std::move(inventory));
}

Json
ToJson(const std::vector<BlockPin>& aPins)
{
  return ToJsonList(aPins, [](const BlockPin& aPin) {
    return Json{ { "pin", aPin.mPin },
                 { "ref", ToJson(aPin.mRef) },
                 { "remaining_us",
                   static_cast<std::uint64_t>(aPin.mRemaining.count()) } };
  });
}

Result<std::vector<BlockPin>>
ReadBlockPins(const Json& aList)
{
  return ReadEach(aList, ReadBlockPin);
}

} // namespace bilberrytrail
