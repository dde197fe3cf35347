#pragma once

#include <bilberrytrail/runtime/memory_budget.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <memory>
#include <new>
#include <stdexcept>

namespace bilberrytrail {

// Allocates within a budget; the names are those that the library calls. Throws
// std::length_error when the budget does not allow it, which a read into a
// buffer reports as an overflow of the buffer.
template<class T>
class BudgetAllocator
{
public:
  using value_type = T;

  explicit BudgetAllocator(std::shared_ptr<MemoryBudget> aBudget) noexcept
    : mBudget(std::move(aBudget))
  {
  }
  template<class Other>
  BudgetAllocator(const BudgetAllocator<Other>& aOther) noexcept
    : mBudget(aOther.mBudget)
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  [[nodiscard]] T* allocate(std::size_t aCount)
  {
    if (!mBudget->Change(0, aCount * sizeof(T))) {
      throw std::length_error("too many bytes of messages in progress");
    }
    return std::allocator<T>().allocate(aCount);
  }
  // NOLINTNEXTLINE(readability-identifier-naming)
  void deallocate(T* aAt, std::size_t aCount) noexcept
  {
    std::allocator<T>().deallocate(aAt, aCount);
    (void)mBudget->Change(aCount * sizeof(T), 0);
  }
  template<class Other>
  [[nodiscard]] bool operator==(
    const BudgetAllocator<Other>& aOther) const noexcept
  {
    return mBudget == aOther.mBudget;
  }

  std::shared_ptr<MemoryBudget> mBudget;
};

// Received bytes of a connection that are not parsed yet.
using ReceiveBuffer = boost::beast::basic_flat_buffer<BudgetAllocator<char>>;

// Frees the memory of a buffer that is empty and large, for a connection that
// waits for its next message.
inline void
ShrinkIdle(ReceiveBuffer& aBuffer)
{
  constexpr std::size_t kKeptBytes = 4 * 1024;
  if (aBuffer.size() == 0 && aBuffer.capacity() > kKeptBytes) {
    aBuffer.shrink_to_fit();
  }
}

// Returns the memory that the fields of a message in progress take: they are
// kept by the parser, as headers of the message, and as those passed on.
[[nodiscard]] inline std::size_t
MemoryOf(const boost::beast::http::fields& aFields)
{
  constexpr std::size_t kFieldBytes = 64;
  constexpr std::size_t kCopies = 3;
  std::size_t bytes = 0;
  for (const auto& it : aFields) {
    bytes += kFieldBytes + it.name_string().size() + it.value().size();
  }
  return kCopies * bytes;
}

} // namespace bilberrytrail
