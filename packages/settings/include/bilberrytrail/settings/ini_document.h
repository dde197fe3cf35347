#pragma once

#include <bilberrytrail/base/error.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// One "key = value" line of an INI text. Lines are counted from 1.
struct IniEntry
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

// Reads an INI text. Comments begin with ';' or '#' at the start of a line.
// Fails with InvalidInput and "name:line: what was expected" at the first line
// that is not a valid section, entry, comment or blank line.
[[nodiscard]] Result<std::vector<IniEntry>>
ParseIni(std::string_view aText, std::string_view aName);

} // namespace bilberrytrail
