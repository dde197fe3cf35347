#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bilberrytrail {

// Table of names of an enumeration. Specialise it with a static constexpr
// member kNames, an std::array of std::string_view in the order of the
// enumerators, which must count up from zero.
//
//   template<>
//   struct EnumNames<Lane>
//   {
//     static constexpr std::array<std::string_view, 2> kNames{ "short",
//                                                              "draft" };
//   };
template<class E>
struct EnumNames;

// Returns the number of enumerators of E.
template<class E>
[[nodiscard]] constexpr std::size_t
EnumCount() noexcept
{
  return EnumNames<E>::kNames.size();
}

// Returns the name of an enumerator, or "?" for a value outside the table.
template<class E>
[[nodiscard]] constexpr std::string_view
ToName(E aValue) noexcept
{
  const auto n = static_cast<std::size_t>(aValue);
  return n < EnumCount<E>() ? EnumNames<E>::kNames[n] : std::string_view("?");
}

// Returns the enumerator with the given name, or nothing when there is none.
template<class E>
[[nodiscard]] constexpr std::optional<E>
FromName(std::string_view aName) noexcept
{
  for (std::size_t n = 0; n < EnumCount<E>(); ++n) {
    if (EnumNames<E>::kNames[n] == aName) {
      return static_cast<E>(n);
    }
  }
  return std::nullopt;
}

// Returns all enumerators of E in order.
template<class E>
[[nodiscard]] constexpr auto
AllOf() noexcept
{
  std::array<E, EnumNames<E>::kNames.size()> all{};
  for (std::size_t n = 0; n < all.size(); ++n) {
    all[n] = static_cast<E>(n);
  }
  return all;
}

} // namespace bilberrytrail
