#pragma once

#include <bilberrytrail/release/release_note.h>

#include <span>
#include <string_view>

namespace bilberrytrail {

// A key that a section may have; mRequired applies to sections that add an
// item. mExpected describes valid values for error messages. mRead returns
// false on an invalid value.
template<class Fields>
struct FieldRule
{
  std::string_view mKey;
  bool mRequired;
  std::string_view mExpected;
  bool (*mRead)(Fields&, std::string_view);
};

// Return the keys for the sections of each kind of item.
[[nodiscard]] std::span<const FieldRule<AccountFields>>
AccountRules();
[[nodiscard]] std::span<const FieldRule<ModelFields>>
ModelRules();
[[nodiscard]] std::span<const FieldRule<AdapterFields>>
AdapterRules();
[[nodiscard]] std::span<const FieldRule<ServiceFields>>
ServiceRules();

} // namespace bilberrytrail
