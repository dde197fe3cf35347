#pragma once

#include <bilberrytrail/release/release_note.h>

#include <span>
#include <string_view>

namespace bilberrytrail {

// One key that a section may have.
template<class Fields>
struct FieldRule
{
  std::string_view mKey;
  bool mRequired;
  std::string_view mExpected;
  bool (*mRead)(Fields&, std::string_view);
};

// The keys of the sections of each kind of item.
[[nodiscard]] std::span<const FieldRule<AccountFields>>
AccountRules();
[[nodiscard]] std::span<const FieldRule<ModelFields>>
ModelRules();
[[nodiscard]] std::span<const FieldRule<AdapterFields>>
AdapterRules();
[[nodiscard]] std::span<const FieldRule<ServiceFields>>
ServiceRules();

} // namespace bilberrytrail
