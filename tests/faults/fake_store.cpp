#include "fake_store.h"

#include "world_node.h"

namespace bilberrytrail {

namespace {

constexpr Duration kTransferTime = 2ms;
constexpr Duration kSlowPin = 400ms;

// Imports run on fibers of their own, which must not end by an exception: a
// dead daemon's calls have no effect instead.
CallError
Gone()
{
  return FailCall(CallDisposition::NotRun, ErrorCode::Unavailable, "down");
}

CallError
LostReply()
{
  return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "no reply");
}

class FakeStore final : public Store
{
public:
  FakeStore(RequestWorld& aWorld, RequestWorld::Node& aNode)
    : mWorld(aWorld)
    , mNode(aNode)
  {
  }

  CallResult<BlockRef> Reserve(BlockId /*aBlock*/,
                               std::uint64_t /*aBytes*/,
                               Duration /*aTimeout*/) override
  {
    return Gone();
  }
  CallResult<void> Seal(const BlockRef& /*aRef*/,
                        Duration /*aTimeout*/) override
  {
    return Gone();
  }
  CallResult<std::vector<BlockPin>> Pin(const std::vector<BlockRef>& aRefs,
                                        Duration aLength,
                                        Duration /*aTimeout*/) override
  {
    mWorld.PassImport(Step::ImportBegin, mNode);
    const bool isCut = mWorld.Fires(Step::ImportBegin, Fault::StoreCut);
    if (isCut || mNode.mDead || mWorld.Kept().IsDown()) {
      return Gone();
    }
    if (mWorld.Fires(Step::ImportBegin, Fault::StoreSlow)) {
      (void)mWorld.GetLoop().Sleep(kSlowPin);
    }
    auto pins = mWorld.Kept().Pin(aRefs, aLength);
    if (mWorld.Fires(Step::ImportBegin, Fault::StoreLostReply)) {
      return LostReply();
    }
    return pins;
  }
  CallResult<void> Unpin(const std::vector<std::string>& /*aPins*/,
                         Duration /*aTimeout*/) override
  {
    return Ok();
  }
  CallResult<void> Free(const BlockRef& /*aRef*/,
                        Duration /*aTimeout*/) override
  {
    return Ok();
  }
  CallResult<StoreInventory> ReadInventory(Duration /*aTimeout*/) override
  {
    return Gone();
  }

private:
  RequestWorld& mWorld;
  RequestWorld::Node& mNode;
};

} // namespace

std::unique_ptr<Store>
MakeFakeStore(RequestWorld& aWorld, RequestWorld::Node& aNode)
{
  return std::make_unique<FakeStore>(aWorld, aNode);
}

CallResult<std::vector<BlockRef>>
ImportAtFakeEngine(RequestWorld& aWorld,
                   RequestWorld::Node& aNode,
                   const std::vector<BlockRef>& aRefs,
                   Duration aTimeout)
{
  if (aNode.mDead || aWorld.Kept().IsDown()) {
    return Gone();
  }
  KeptBlocks& kept = aWorld.Kept();
  for (const auto& ref : aRefs) {
    (void)kept.Read(aNode.mId, ref.mBlock, 0);
  }
  (void)aWorld.GetLoop().Sleep(kTransferTime);
  aWorld.PassImport(Step::ImportEnd, aNode);
  if (aWorld.Fires(Step::ImportEnd, Fault::StoreCut)) {
    // Half of each block is in the engine's cache.
    return LostReply();
  }
  const bool isSlow = aWorld.Fires(Step::ImportEnd, Fault::StoreSlow);
  if (isSlow) {
    // The pins end meanwhile, and the store gives the places to others.
    (void)aWorld.GetLoop().Sleep(aTimeout);
    kept.Replace(1);
  }
  std::vector<BlockRef> read;
  for (const auto& ref : aRefs) {
    auto found = kept.Read(aNode.mId, ref.mBlock, 1);
    if (found) {
      found->mChecksum = kept.ChecksumAt(aNode.mId, ref.mBlock);
      read.push_back(*found);
    } else {
      // What an answer does not name was not moved, by the protocol.
      kept.Drop(aNode.mId, ref.mBlock);
    }
  }
  if (aWorld.Fires(Step::ImportEnd, Fault::StoreCorrupt)) {
    for (auto& ref : read) {
      kept.Spoil(aNode.mId, ref.mBlock);
      ref.mChecksum = kept.ChecksumAt(aNode.mId, ref.mBlock);
    }
  }
  if (isSlow || aWorld.Fires(Step::ImportEnd, Fault::StoreLostReply)) {
    return LostReply();
  }
  return read;
}

} // namespace bilberrytrail
