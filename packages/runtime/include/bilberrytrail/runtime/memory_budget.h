#pragma once

#include <bilberrytrail/base/error.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Bounds the memory of all messages in progress together. The last quarter is
// kept for small messages, so that a few large ones, or ones that don't end, do
// not keep the others from being served. Thread-safe.
class MemoryBudget
{
public:
  explicit MemoryBudget(std::size_t aLimitBytes) noexcept
    : mLimitBytes(aLimitBytes)
  {
  }

  [[nodiscard]] std::size_t UsedBytes() const noexcept { return mUsedBytes; }
  [[nodiscard]] std::size_t LimitBytes() const noexcept { return mLimitBytes; }

  // Changes the bytes that one message holds. Returns false, and changes
  // nothing, when the limit does not allow it.
  [[nodiscard]] bool Change(std::size_t aFrom, std::size_t aTo) noexcept;

private:
  const std::size_t mLimitBytes;
  std::atomic<std::size_t> mUsedBytes = 0;
};

// The part of a budget that one message uses, until the end of this object.
class MemoryHold
{
public:
  explicit MemoryHold(std::shared_ptr<MemoryBudget> aBudget) noexcept
    : mBudget(std::move(aBudget))
  {
  }
  ~MemoryHold() { (void)Resize(0); }
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  // Sets the number of bytes. Returns false, and changes nothing, when the
  // budget does not allow it.
  [[nodiscard]] bool Resize(std::size_t aBytes) noexcept;

private:
  std::shared_ptr<MemoryBudget> mBudget;
  std::size_t mBytes = 0;
};

// Collects the body of one message within a budget.
//
//   BodyBuffer body(loop.MessageMemory(), kMaxBytes);
//   if (auto ok = body.Append(piece); !ok) { ... }
//   Send(body.Take());
class BodyBuffer
{
public:
  BodyBuffer(std::shared_ptr<MemoryBudget> aBudget, std::size_t aMaxBytes)
    : mHold(std::move(aBudget))
    , mMaxBytes(aMaxBytes)
  {
  }

  // Makes room for a body of known size. Fails with TooLarge, or with Exhausted
  // when the budget does not allow it.
  [[nodiscard]] Result<void> Reserve(std::size_t aBytes);
  // Adds a part of the body. Fails like Reserve.
  [[nodiscard]] Result<void> Append(std::string_view aBytes);
  // Returns the body. It counts against the budget until the end of this
  // object.
  [[nodiscard]] std::string Take() noexcept { return std::move(mText); }

private:
  [[nodiscard]] Result<void> Grow(std::size_t aCapacity);

  MemoryHold mHold;
  const std::size_t mMaxBytes;
  std::string mText;
};

} // namespace bilberrytrail
