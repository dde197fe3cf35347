#include <bilberrytrail/runtime/memory_budget.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Larger messages, as a part of the limit, may use the first three quarters of
// it only.
constexpr std::size_t kSmallParts = 64;

} // namespace

bool
MemoryBudget::Change(std::size_t aFrom, std::size_t aTo) noexcept
{
  if (aTo <= aFrom) {
    mUsedBytes -= aFrom - aTo;
    return true;
  }
  const bool isSmall = aTo <= mLimitBytes / kSmallParts;
  const auto limit = isSmall ? mLimitBytes : mLimitBytes / 4 * 3;
  const auto more = aTo - aFrom;
  auto used = mUsedBytes.load();
  do {
    if (used > limit || more > limit - used) {
      return false;
    }
  } while (!mUsedBytes.compare_exchange_weak(used, used + more));
  return true;
}

bool
MemoryHold::Resize(std::size_t aBytes) noexcept
{
  if (!mBudget->Change(mBytes, aBytes)) {
    return false;
  }
  mBytes = aBytes;
  return true;
}

Result<void>
BodyBuffer::Grow(std::size_t aCapacity)
{
  if (!mHold.Resize(aCapacity)) {
    return Fail(ErrorCode::Exhausted, "too many bytes of messages in progress");
  }
  mText.reserve(aCapacity);
  return Ok();
}

Result<void>
BodyBuffer::Reserve(std::size_t aBytes)
{
  if (aBytes > mMaxBytes) {
    return Fail(ErrorCode::TooLarge,
                "body exceeds " + std::to_string(mMaxBytes) + " bytes");
  }
  return aBytes > mText.capacity() ? Grow(aBytes) : Ok();
}

Result<void>
BodyBuffer::Append(std::string_view aBytes)
{
  const auto size = mText.size() + aBytes.size();
  if (size > mText.capacity() || size > mMaxBytes) {
    // Grows by doubling, so that each byte is copied a few times at most.
    const auto doubled = std::min(2 * mText.size(), mMaxBytes);
    if (auto ok = Reserve(std::max(size, doubled)); !ok) {
      return ok;
    }
  }
  mText.append(aBytes);
  return Ok();
}

} // namespace bilberrytrail
