#pragma once

#include <bilberrytrail/settings/daemon_settings.h>

#include <span>
#include <variant>

namespace bilberrytrail {

// Pointer to the DaemonSettings member that a row sets.
using SettingMember = std::variant<std::string DaemonSettings::*,
                                   DaemonId DaemonSettings::*,
                                   ZoneId DaemonSettings::*,
                                   Endpoint DaemonSettings::*,
                                   Duration DaemonSettings::*,
                                   std::uint64_t DaemonSettings::*,
                                   double DaemonSettings::*,
                                   LogLevel DaemonSettings::*>;

// Returns the members in the order of DaemonSettingTable().
[[nodiscard]] std::span<const SettingMember>
DaemonSettingMembers();

// Stores the value of a row. Fails with InvalidInput when the value does not
// have the type of the member, or when the text is not the name of a log level.
[[nodiscard]] Result<void>
StoreSetting(DaemonSettings& aSettings,
             const SettingMember& aMember,
             const SettingValue& aValue);

} // namespace bilberrytrail
