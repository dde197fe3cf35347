#pragma once

#include <bilberrytrail/backend/block_ref.h>
#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// What the owner of a block's state machine has to do.
enum class BlockActionKind : unsigned char
{
  // Store::Reserve of mRefs.front(), then OnReserved.
  Reserve,
  // Engine::ExportBlocks of mRefs, then OnExported.
  OrderExport,
  // Store::Seal of mRefs.front(), then OnSealed.
  Seal,
  // Store::Pin of mRefs for mDuration, then OnPinned.
  Pin,
  // Ask BeginImport; when it allows, Engine::ImportBlocks of mRefs and then
  // OnImported, else OnImportSkipped.
  OrderImport,
  // Store::Unpin of mPins; the result does not matter.
  Unpin,
  // Drop mRefs from the directory, so that nobody plans with them.
  Withdraw,
  // Store::Free of mRefs.front(), then OnFreed where the machine has it.
  Free
};

template<>
struct EnumNames<BlockActionKind>
{
  static constexpr std::array<std::string_view, 8> kNames{
    "reserve",      "order_export", "seal",     "pin",
    "order_import", "unpin",        "withdraw", "free"
  };
};

// One action; the fields that apply are named in BlockActionKind.
struct BlockAction
{
  BlockActionKind mKind = BlockActionKind::Reserve;
  std::vector<BlockRef> mRefs;
  std::vector<std::string> mPins;
  Duration mDuration{};
};

using BlockActions = std::vector<BlockAction>;

// Exports one block of a server's cache to a store: reserve, write, seal with
// length and checksum. Every failure frees what was reserved, and the block is
// not kept.
//
//   BlockExport flow(block, bytes);
//   Perform(flow.Start());
//   Perform(flow.OnReserved(store.Reserve(...)));
//   Perform(flow.OnExported(engine.ExportBlocks(...)));
//   Perform(flow.OnSealed(store.Seal(...)));
//   if (flow.Sealed()) { ... tell the directory ... }
class BlockExport
{
public:
  BlockExport(BlockId aBlock, std::uint64_t aBytes);

  [[nodiscard]] bool IsFinished() const noexcept { return mIsFinished; }
  // Returns the sealed block; nothing unless the store has confirmed the seal.
  [[nodiscard]] const std::optional<BlockRef>& Sealed() const noexcept
  {
    return mSealed;
  }

  [[nodiscard]] BlockActions Start();
  [[nodiscard]] BlockActions OnReserved(const CallResult<BlockRef>& aRef);
  [[nodiscard]] BlockActions OnExported(
    const CallResult<std::vector<BlockRef>>& aWritten);
  [[nodiscard]] BlockActions OnSealed(const CallResult<void>& aResult);

private:
  [[nodiscard]] BlockActions GiveUp();

  BlockRef mRef;
  std::optional<BlockRef> mSealed;
  std::uint32_t mSeals = 0;
  bool mIsFinished = false;
};

// Bounds of an import.
struct ImportLimits
{
  // Time for which blocks are pinned.
  Duration mPinDuration = 5s;
  // Least time that a pin must outlast the expected transfer.
  Duration mPinMargin = 200ms;
};

// Imports blocks from one store into one server's cache: pin, check the time
// left, order the import, and accept only blocks that came back with the
// generation, length and checksum asked for, before the pin's end. Everything
// else is recomputed.
//
//   BlockImport flow(refs, expectedTransfer, ImportLimits());
//   Perform(flow.Start(now));
//   Perform(flow.OnPinned(store.Pin(...), now));
//   if (flow.BeginImport(now)) {
//     Perform(flow.OnImported(engine.ImportBlocks(...), now));
//   } else {
//     Perform(flow.OnImportSkipped());
//   }
//   Use(flow.Usable());
class BlockImport
{
public:
  BlockImport(std::vector<BlockRef> aWanted,
              Duration aExpectedTransfer,
              const ImportLimits& aLimits);

  [[nodiscard]] bool IsFinished() const noexcept { return mIsFinished; }
  // Returns the blocks that may be used, in the order asked for.
  [[nodiscard]] const std::vector<BlockRef>& Usable() const noexcept
  {
    return mUsable;
  }
  // Returns blocks that the server read but that are not those asked for, or
  // came too late. The store's entry for them is wrong or was reused, and the
  // server must not be asked to use them.
  [[nodiscard]] const std::vector<BlockRef>& Rejected() const noexcept
  {
    return mRejected;
  }

  [[nodiscard]] BlockActions Start(Instant aNow);
  [[nodiscard]] BlockActions OnPinned(
    const CallResult<std::vector<BlockPin>>& aPins,
    Instant aNow);
  // Returns true when the import may be ordered now; ask right before.
  [[nodiscard]] bool BeginImport(Instant aNow);
  [[nodiscard]] BlockActions OnImportSkipped();
  [[nodiscard]] BlockActions OnImported(
    const CallResult<std::vector<BlockRef>>& aRead,
    Instant aNow);

private:
  [[nodiscard]] BlockActions Unpin();

  std::vector<BlockRef> mWanted;
  Duration mExpectedTransfer;
  ImportLimits mLimits;
  Instant mPinAskedAt{};
  Instant mPinEnd{};
  std::vector<BlockRef> mPinned;
  std::vector<std::string> mPins;
  std::vector<BlockRef> mUsable;
  std::vector<BlockRef> mRejected;
  bool mIsOrdered = false;
  bool mIsFinished = false;
};

// Frees one kept block: withdraws it from the directory, then asks the store,
// which gives no new pins and waits out the present ones. Repeated while the
// reply is lost: the generation makes the request idempotent.
class BlockRelease
{
public:
  explicit BlockRelease(const BlockRef& aRef);

  [[nodiscard]] bool IsFinished() const noexcept { return mIsFinished; }

  [[nodiscard]] BlockActions Start();
  [[nodiscard]] BlockActions OnFreed(const CallResult<void>& aResult);

private:
  BlockRef mRef;
  std::uint32_t mTries = 0;
  bool mIsFinished = false;
};

} // namespace bilberrytrail
