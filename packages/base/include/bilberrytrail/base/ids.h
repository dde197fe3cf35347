#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bilberrytrail {

// Textual identifier with a type of its own, so that identifiers of different
// kinds cannot be mixed up.
template<class Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aText)
    : mText(std::move(aText))
  {
  }

  [[nodiscard]] const std::string& Text() const noexcept { return mText; }
  [[nodiscard]] bool IsEmpty() const noexcept { return mText.empty(); }

  auto operator<=>(const Id&) const = default;

private:
  std::string mText;
};

// Unsigned number with a type of its own, for versions and generations.
template<class Tag>
class Number
{
public:
  constexpr Number() = default;
  explicit constexpr Number(std::uint64_t aValue) noexcept
    : mValue(aValue)
  {
  }

  [[nodiscard]] constexpr std::uint64_t Value() const noexcept
  {
    return mValue;
  }
  [[nodiscard]] constexpr Number Next() const noexcept
  {
    return Number(mValue + 1);
  }

  auto operator<=>(const Number&) const = default;

private:
  std::uint64_t mValue = 0;
};

using ProductId = Id<struct ProductTag>;
using AccountId = Id<struct AccountTag>;
using ModelId = Id<struct ModelTag>;
using VersionId = Id<struct VersionTag>;
using ServerId = Id<struct ServerTag>;
using StoreId = Id<struct StoreTag>;
using DaemonId = Id<struct DaemonTag>;
using ZoneId = Id<struct ZoneTag>;
using AttemptId = Id<struct AttemptTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;

// Identifies a block of a prompt: a keyed hash over product, client account,
// weight version, parent block and tokens.
using BlockId = Number<struct BlockTag>;
// Incremented each time the space of a stored block is reused.
using Generation = Number<struct GenerationTag>;
// Number of a release note within its product; 0 is before the first.
using ReleaseNumber = Number<struct ReleaseTag>;
// Epoch of a lease, sent with each order to a backend server.
using FencingNumber = Number<struct FencingTag>;
// Incremented when a daemon refutes a suspicion about itself.
using Incarnation = Number<struct IncarnationTag>;

} // namespace bilberrytrail

template<class Tag>
struct std::hash<bilberrytrail::Id<Tag>>
{
  std::size_t operator()(const bilberrytrail::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>()(aId.Text());
  }
};

template<class Tag>
struct std::hash<bilberrytrail::Number<Tag>>
{
  std::size_t operator()(
    const bilberrytrail::Number<Tag>& aNumber) const noexcept
  {
    return std::hash<std::uint64_t>()(aNumber.Value());
  }
};
