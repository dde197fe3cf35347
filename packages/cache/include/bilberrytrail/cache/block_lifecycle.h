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

// Action that a block's state machine requests from its owner.
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
  // Call BeginImport. When it returns true, Engine::ImportBlocks of mRefs and
  // then OnImported; otherwise OnImportSkipped.
  OrderImport,
  // Store::Unpin of mPins; the result is ignored.
  Unpin,
  // Remove mRefs from the directory, so that no new plan uses them.
  Withdraw,
  // Store::Free of mRefs.front(), then OnFreed if the state machine has one.
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

// One action; BlockActionKind says which fields apply.
struct BlockAction
{
  BlockActionKind mKind = BlockActionKind::Reserve;
  std::vector<BlockRef> mRefs;
  std::vector<std::string> mPins;
  Duration mDuration{};
};

using BlockActions = std::vector<BlockAction>;

// Exports one block of a server's cache to a store: reserve, write, seal with
// length and checksum. A failed export frees the reserved space, except when
// the reply to Reserve or to the last Seal was lost: then the store's timeout
// or its next inventory settles the block.
//
//   BlockExport flow(block, bytes);
//   Perform(flow.Start());
//   Perform(flow.OnReserved(store.Reserve(...)));
//   Perform(flow.OnExported(engine.ExportBlocks(...)));
//   Perform(flow.OnSealed(store.Seal(...)));
//   if (flow.Sealed()) { ... add the block to the directory ... }
class BlockExport
{
public:
  BlockExport(BlockId aBlock, std::uint64_t aBytes);

  [[nodiscard]] bool IsFinished() const noexcept { return mIsFinished; }
  // Returns the sealed block; nullopt unless the store has confirmed the seal.
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
  [[nodiscard]] BlockActions Abort();

  BlockRef mRef;
  std::optional<BlockRef> mSealed;
  std::uint32_t mSealAttempts = 0;
  bool mIsFinished = false;
};

// Limits of an import.
struct ImportLimits
{
  // Time for which blocks are pinned.
  Duration mPinDuration = 5s;
  // Minimum time by which a pin must outlast the expected transfer.
  Duration mPinMargin = 200ms;
};

// Imports blocks from one store into one server's cache: pins them, checks the
// remaining pin time, orders the import, and accepts only blocks that were read
// before the pins end with the requested generation, length and checksum. All
// other blocks are recomputed.
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
  BlockImport(std::vector<BlockRef> aRequested,
              Duration aExpectedTransfer,
              const ImportLimits& aLimits);

  [[nodiscard]] bool IsFinished() const noexcept { return mIsFinished; }
  // Returns the blocks that may be used, in the order the server returned them.
  [[nodiscard]] const std::vector<BlockRef>& Usable() const noexcept
  {
    return mUsable;
  }
  // Returns blocks that the server read but that differ from the requested
  // ones or arrived after the pins ended. The store's entry for them is wrong
  // or was reused, and the server must not use them.
  [[nodiscard]] const std::vector<BlockRef>& Rejected() const noexcept
  {
    return mRejected;
  }

  [[nodiscard]] BlockActions Start(Instant aNow);
  [[nodiscard]] BlockActions OnPinned(
    const CallResult<std::vector<BlockPin>>& aPins,
    Instant aNow);
  // Returns true when the remaining pin time allows the import. Call it
  // immediately before ordering the import.
  [[nodiscard]] bool BeginImport(Instant aNow);
  [[nodiscard]] BlockActions OnImportSkipped();
  [[nodiscard]] BlockActions OnImported(
    const CallResult<std::vector<BlockRef>>& aRead,
    Instant aNow);

private:
  [[nodiscard]] BlockActions Unpin();

  std::vector<BlockRef> mRequested;
  Duration mExpectedTransfer;
  ImportLimits mLimits;
  Instant mPinRequestedAt{};
  Instant mPinEnd{};
  std::vector<BlockRef> mPinned;
  std::vector<std::string> mPins;
  std::vector<BlockRef> mUsable;
  std::vector<BlockRef> mRejected;
  bool mIsOrdered = false;
  bool mIsFinished = false;
};

// Frees one stored block: withdraws it from the directory, then sends Free to
// the store, which grants no new pins and waits for the existing ones to end.
// Free is retried when its reply is lost: the generation makes it idempotent.
class BlockRelease
{
public:
  explicit BlockRelease(const BlockRef& aRef);

  [[nodiscard]] bool IsFinished() const noexcept { return mIsFinished; }

  [[nodiscard]] BlockActions Start();
  [[nodiscard]] BlockActions OnFreed(const CallResult<void>& aResult);

private:
  BlockRef mRef;
  std::uint32_t mFreeAttempts = 0;
  bool mIsFinished = false;
};

} // namespace bilberrytrail
