#pragma once

namespace bilberrytrail {

struct IniEntry;
struct SettingInfo;
struct DaemonSettings;

} // namespace bilberrytrail
